package link

import (
	"fmt"
	"time"
)

const simCap = 35e6 // bytes per second: 280 Mbit/s

// simulation holds one route with its entry hosts and the control hosts that
// lead one after the other.
type simulation struct {
	now       time.Time
	hosts     []*simHost
	leader    *simLeader
	retired   []*simLeader // former leaders, newest last
	window    []passed     // grants of the last Window
	bytes     float64      // sum of window
	violation string       // first violation found, empty if there is none
}

// passed is one grant of bytes.
type passed struct {
	at    time.Time
	bytes float64
}

// simHost is an entry host with its own clock.
type simHost struct {
	name    string
	drift   float64
	start   time.Time // of the simulation
	sim     *simulation
	shaper  *Shaper
	frozen  bool
	idle    bool
	pending *simRequest
}

// simRequest is a lease request in flight, with the reply once the leader has
// handled it.
type simRequest struct {
	host    *simHost
	demand  float64
	sent    time.Time // on the clock of the host
	to      *simLeader
	replied bool
	share   float64
}

// simLeader is a control host that leads until its quorum lease expires.
type simLeader struct {
	allocator *Allocator
	until     time.Time
}

func newSimulation(hosts int) *simulation {
	sim := &simulation{now: time.Unix(1_800_000_000, 0)}
	for i := range hosts {
		h := &simHost{name: fmt.Sprint("h", i), start: sim.now, sim: sim, drift: 1}
		h.shaper = NewShaper(Floor(simCap, hosts), h.time())
		sim.hosts = append(sim.hosts, h)
	}
	sim.elect()
	return sim
}

// time returns the time on the clock of the host.
func (h *simHost) time() time.Time {
	return h.start.Add(time.Duration(float64(h.sim.now.Sub(h.start)) * h.drift))
}

// elect advances to the end of the leader's quorum lease and installs a new leader.
func (sim *simulation) elect() {
	if sim.leader != nil {
		sim.retired = append(sim.retired, sim.leader)
		sim.advance(sim.leader.until.Sub(sim.now))
	}
	sim.leader = &simLeader{allocator: NewAllocator(simCap, sim.now), until: sim.now.Add(time.Second)}
}

func (sim *simulation) advance(d time.Duration) {
	if d > 0 {
		sim.now = sim.now.Add(d)
	}
	sim.check()
}

// extend renews the quorum lease of the leader.
func (sim *simulation) extend() { sim.leader.until = sim.now.Add(time.Second) }

// ask sends a lease request of a host to a leader.
func (sim *simulation) ask(h *simHost, to *simLeader, demand float64) {
	h.pending = &simRequest{host: h, demand: demand, sent: h.time(), to: to}
}

// handle lets the leader answer a request if its quorum lease is still valid.
func (sim *simulation) handle(a *simRequest) {
	if !a.replied && sim.now.Before(a.to.until) {
		a.share, a.replied = a.to.allocator.Ask(sim.now, a.host.name, a.demand), true
	}
}

// reply delivers a pending reply to a host that is not frozen.
func (sim *simulation) reply(h *simHost) {
	if h.frozen || h.pending == nil || !h.pending.replied {
		return
	}
	h.shaper.SetLease(h.time(), Lease{BytesPerSecond: h.pending.share, Until: h.pending.sent.Add(UsableLeaseDuration)})
	h.pending = nil
	sim.check()
}

// flow advances by ticks and lets all hosts that are neither frozen nor idle
// pass as many bytes as their shapers grant.
func (sim *simulation) flow(ticks int, tick time.Duration) {
	for range ticks {
		sim.advance(tick)
		for _, h := range sim.hosts {
			for !h.frozen && !h.idle && h.shaper.TryNow(h.time(), h.shaper.Chunk()) {
				sim.pass(float64(h.shaper.Chunk()))
			}
		}
	}
	sim.check()
}

// check records a violation if the shares in use exceed the cap less the reserve.
func (sim *simulation) check() {
	sum := 0.0
	for _, h := range sim.hosts {
		sum += h.shaper.Share(h.time())
	}
	if sum > simCap*(1-reserveFraction)+1 && sim.violation == "" {
		sim.violation = fmt.Sprintf("shares in use add up to %.0f bytes/s, too much for a cap of %.0f bytes/s", sum, float64(simCap))
	}
}

// pass counts granted bytes and records a violation if the window that ends now
// exceeds the cap.
func (sim *simulation) pass(bytes float64) {
	sim.window = append(sim.window, passed{at: sim.now, bytes: bytes})
	sim.bytes += bytes
	for !sim.window[0].at.After(sim.now.Add(-Window)) {
		sim.bytes -= sim.window[0].bytes
		sim.window = sim.window[1:]
	}
	if sim.bytes > simCap*Window.Seconds() && sim.violation == "" {
		sim.violation = fmt.Sprintf("%.0f bytes passed in one window, the cap allows %.0f", sim.bytes, simCap*Window.Seconds())
	}
}
