package link

import (
	"fmt"
	"time"
)

const worldCap = 35e6 // bytes per second: 280 Mbit/s

// world is one route with its hosts and the control hosts that lead in turn.
type world struct {
	now     time.Time
	hosts   []*simHost
	leader  *simLeader
	retired []*simLeader
	window  []passed // of the last Window
	bytes   float64  // in it
	fault   string
}

type passed struct {
	at    time.Time
	bytes float64
}

// simHost is an entry host with its own clock.
type simHost struct {
	name   string
	drift  float64
	start  time.Time // of the world
	w      *world
	shaper *Shaper
	frozen bool
	idle   bool
	asking *simAsk
}

// simAsk is a lease request on its way, with the reply once the leader has handled it.
type simAsk struct {
	host    *simHost
	demand  float64
	sent    time.Time // on the clock of the host
	to      *simLeader
	replied bool
	share   float64
}

// simLeader is a control host that may lead until its quorum lease ends.
type simLeader struct {
	allocator *Allocator
	until     time.Time
}

func newWorld(hosts int) *world {
	w := &world{now: time.Unix(1_800_000_000, 0)}
	for i := range hosts {
		h := &simHost{name: fmt.Sprint("h", i), start: w.now, w: w, drift: 1}
		h.shaper = NewShaper(Floor(worldCap, hosts), h.time())
		w.hosts = append(w.hosts, h)
	}
	w.elect()
	return w
}

func (h *simHost) time() time.Time {
	return h.start.Add(time.Duration(float64(h.w.now.Sub(h.start)) * h.drift))
}

// elect replaces the leader as soon as the old one cannot have a quorum any more.
func (w *world) elect() {
	if w.leader != nil {
		w.retired = append(w.retired, w.leader)
		w.advance(w.leader.until.Sub(w.now))
	}
	w.leader = &simLeader{allocator: NewAllocator(worldCap, w.now), until: w.now.Add(time.Second)}
}

func (w *world) advance(d time.Duration) {
	if d > 0 {
		w.now = w.now.Add(d)
	}
	w.check()
}

func (w *world) extend() { w.leader.until = w.now.Add(time.Second) }

// ask sends a lease request to the leader that the host knows.
func (w *world) ask(h *simHost, to *simLeader, demand float64) {
	h.asking = &simAsk{host: h, demand: demand, sent: h.time(), to: to}
}

// handle lets the leader answer, if it still has its quorum lease.
func (w *world) handle(a *simAsk) {
	if !a.replied && w.now.Before(a.to.until) {
		a.share, a.replied = a.to.allocator.Ask(w.now, a.host.name, a.demand), true
	}
}

// reply delivers the reply to a host.
func (w *world) reply(h *simHost) {
	if h.frozen || h.asking == nil || !h.asking.replied {
		return
	}
	h.shaper.SetLease(h.time(), Lease{BytesPerSecond: h.asking.share, Until: h.asking.sent.Add(UsableLeaseDuration)})
	h.asking = nil
	w.check()
}

// flow lets all hosts that are neither frozen nor idle pass what they may.
func (w *world) flow(ticks int, tick time.Duration) {
	for range ticks {
		w.advance(tick)
		for _, h := range w.hosts {
			for !h.frozen && !h.idle && h.shaper.TryNow(h.time(), h.shaper.Chunk()) {
				w.pass(float64(h.shaper.Chunk()))
			}
		}
	}
	w.check()
}

// check compares the shares in use with the cap.
func (w *world) check() {
	sum := 0.0
	for _, h := range w.hosts {
		sum += h.shaper.Share(h.time())
	}
	if sum > worldCap*(1-reservePart)+1 && w.fault == "" {
		w.fault = fmt.Sprintf("shares add up to %.0f bytes/s at a cap of %.0f", sum, float64(worldCap))
	}
}

// pass counts bytes and compares the window that ends with them with the cap.
func (w *world) pass(bytes float64) {
	w.window = append(w.window, passed{at: w.now, bytes: bytes})
	w.bytes += bytes
	for !w.window[0].at.After(w.now.Add(-Window)) {
		w.bytes -= w.window[0].bytes
		w.window = w.window[1:]
	}
	if w.bytes > worldCap*Window.Seconds() && w.fault == "" {
		w.fault = fmt.Sprintf("%.0f bytes in a window that may hold %.0f", w.bytes, worldCap*Window.Seconds())
	}
}
