package slots

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"seed": "20261204", "checks": "400", "steps": "200"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
}

const stallTimeout = 30 * time.Second // after this time targets close a connection that accepts no bytes

// simPermit is a permit as its holder sees it, and the target's actual work for it.
type simPermit struct {
	id            ID
	target        string
	term          int
	deadline      time.Time
	sent          bool
	streaming     bool
	confirmed     time.Time
	released      bool
	workEnd       time.Time // when the target stops at the latest; zero if only the holder ends the work
	grantInFlight bool      // the grant is still in flight
}

// simulation simulates two entry hosts, their targets and the pool of the current
// coordinator.
type simulation struct {
	now      time.Time
	pool     *Pool
	term     int
	number   uint64
	inc      map[string]int
	seen     map[string]int // newest term to which a host has reported its permits
	frozen   map[string]bool
	permits  map[ID]*simPermit
	started  map[string]time.Time
	sequence uint64
	slots    map[string]int
	full     int // how often a check after a failover found all slots of a target in use
}

func newSimulation(slots ...int) *simulation {
	w := &simulation{
		now: start, inc: map[string]int{}, seen: map[string]int{}, frozen: map[string]bool{},
		permits: map[ID]*simPermit{}, started: map[string]time.Time{}, slots: map[string]int{},
	}
	for i, n := range slots {
		w.slots[address(i)] = n
	}
	w.failover(nil)
	return w
}

func (w *simulation) holder(h string) Holder { return Holder{h, fmt.Sprint(w.inc[h])} }

// failover starts a new term with an empty pool.
func (w *simulation) failover(hosts []string) {
	w.term++
	p := Policy{Services: map[string]Limits{"s": {WarmUp: time.Second, Timeout: 4 * time.Second}}}
	w.pool = NewPool(w.now, p, hosts, 2*time.Second)
}

func (w *simulation) acquire(h string, class traffic.Class, left time.Duration) {
	if w.frozen[h] {
		return
	}
	w.number++
	r := Request{
		ID: ID{w.holder(h), w.number}, Service: "s", Class: class, Deadline: w.now.Add(left), MaxWait: time.Second,
	}
	w.permits[r.ID] = &simPermit{id: r.ID, term: w.term, deadline: r.Deadline, grantInFlight: true}
	if g, queued, err := w.pool.Acquire(w.now, r); err == nil && !queued {
		w.permits[r.ID].target = g.Target
	}
}

// collect records the grants of queued requests, which reach their holders at any
// later step.
func (w *simulation) collect() {
	for _, d := range w.pool.Decisions() {
		if u := w.permits[d.ID]; u != nil && d.Err == nil {
			u.target, u.term = d.Target, w.term
		}
	}
}

// live reports whether the holder's process still runs and has not released the
// permit.
func (w *simulation) live(u *simPermit) bool {
	return u.id.Holder == w.holder(u.id.Holder.Host) && !u.released
}

// send delivers a grant and starts the work, unless its holder has already
// reported its permits to a newer term.
func (w *simulation) send(u *simPermit) {
	if !w.live(u) || w.frozen[u.id.Holder.Host] || !u.grantInFlight || u.target == "" || !w.now.Before(u.deadline) {
		return
	}
	u.grantInFlight = false
	if u.term < w.seen[u.id.Holder.Host] {
		u.released = true
		return
	}
	u.sent, u.workEnd = true, u.deadline
}

// end makes the holder end a request. arrives is false if the release is lost.
func (w *simulation) end(u *simPermit, o Outcome, arrives bool) {
	if !w.live(u) || w.frozen[u.id.Holder.Host] || u.grantInFlight {
		return
	}
	u.released = true
	if o == OutcomeDone {
		u.workEnd = w.now
	} else {
		u.workEnd = earlier(or(u.workEnd, w.now.Add(time.Hour)), w.now.Add(AbandonGrace))
	}
	if arrives {
		w.pool.Release(w.now, u.id, o)
	}
}

// or returns t, or other if t is zero.
func or(t, other time.Time) time.Time {
	if t.IsZero() {
		return other
	}
	return t
}

// stream starts the response, after which only the holder ends the work.
func (w *simulation) stream(u *simPermit) {
	if u.sent && w.live(u) && !w.frozen[u.id.Holder.Host] && !u.streaming && w.now.Before(u.deadline) {
		u.streaming, u.workEnd = true, time.Time{}
	}
}

// renew renews a streaming permit and ends the stream if the permit is unknown.
func (w *simulation) renew(u *simPermit) {
	if !w.live(u) || w.frozen[u.id.Holder.Host] || !u.streaming {
		return
	}
	unknown, deferred := w.pool.Renew(w.now, u.id.Holder, []uint64{u.id.Number})
	if len(unknown) > 0 {
		w.end(u, OutcomeAbandoned, true)
	} else if !deferred {
		u.confirmed = w.now
	}
}

// pass advances the clock by d in steps: targets announce themselves, holders end
// requests that ran out of time and lost streams, and the pool is ticked.
func (w *simulation) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = earlier(end, w.now.Add(200*time.Millisecond))
		w.announce()
		for _, u := range w.permits {
			if u.streaming && !w.now.Before(later(u.deadline, u.confirmed).Add(LostAfter)) {
				w.end(u, OutcomeAbandoned, true)
			} else if u.sent && !u.streaming && !w.now.Before(u.deadline) {
				w.end(u, OutcomeAbandoned, false)
			}
		}
		w.pool.Tick(w.now)
		w.collect()
		w.prune()
	}
}

func (w *simulation) announce() {
	w.sequence++
	for a, n := range w.slots {
		_ = w.pool.Announce(w.now, Announcement{Service: "s", Address: a, Incarnation: 1, Sequence: w.sequence, Slots: n, State: Ready})
	}
}

// prune removes permits that can no longer lead to work at a target.
func (w *simulation) prune() {
	for id, u := range w.permits {
		if u.released && !w.working(u) || u.grantInFlight && !w.now.Before(u.deadline) || !w.live(u) && !w.working(u) {
			delete(w.permits, id)
		}
	}
}

// working reports whether the target may be working on the request.
func (w *simulation) working(u *simPermit) bool {
	return u.sent && (u.workEnd.IsZero() || w.now.Before(u.workEnd))
}

// restart replaces a host's process, which closes its connections.
func (w *simulation) restart(h string) {
	for _, u := range w.permits {
		if u.id.Holder == w.holder(h) && u.sent && !u.released {
			u.workEnd = earlier(or(u.workEnd, w.now.Add(time.Hour)), w.now.Add(AbandonGrace))
		}
	}
	w.inc[h]++
	w.seen[h], w.frozen[h], w.started[h] = 0, false, w.now
}

// freeze freezes a host's process, or resumes it. Targets end the streams of a
// frozen host after stallTimeout.
func (w *simulation) freeze(h string) {
	w.frozen[h] = !w.frozen[h]
	for _, u := range w.permits {
		if u.id.Holder == w.holder(h) && u.streaming && !u.released {
			u.workEnd = time.Time{}
			if w.frozen[h] {
				u.workEnd = w.now.Add(stallTimeout)
			}
		}
	}
}

// answer makes a host report its permits to the new coordinator.
func (w *simulation) answer(h string) {
	if w.frozen[h] {
		return
	}
	w.seen[h] = w.term
	var held []HeldPermit
	for _, u := range w.permits {
		switch {
		case u.id.Holder != w.holder(h) || u.grantInFlight || !u.sent:
		case u.released && w.working(u):
			held = append(held, HeldPermit{u.id.Number, "s", u.target, w.now.Add(AbandonGrace)})
		case !u.released:
			held = append(held, HeldPermit{u.id.Number, "s", u.target, later(w.now, u.deadline).Add(StreamSilence)})
		}
	}
	w.pool.RestorePermits(w.now, w.holder(h), w.now.Sub(w.started[h]), held)
}

// check fails if a target works on more requests than it has slots.
func (w *simulation) check(t rapid.TB) {
	out := map[string]int{}
	for _, u := range w.permits {
		if w.working(u) {
			out[u.target]++
		}
	}
	for a, n := range out {
		if n == w.slots[a] && w.term > 1 {
			w.full++
		}
		if n > w.slots[a] {
			t.Fatalf("%d requests outstanding at %s exceed its %d slots at %v", n, a, w.slots[a], w.now.Sub(start))
		}
	}
}

// Guards against more requests at a target than it has slots, counted at the
// targets themselves, under lost releases, late grants, restarted and frozen
// holders, streams, abandoned requests and failovers of the coordinator.
func TestTargetsNeverExceedTheirSlots(t *testing.T) {
	full := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(1, 2).Draw(t, "slots"), rapid.IntRange(1, 2).Draw(t, "slots"))
		hosts := []string{"h1", "h2"}
		acquire := func(t *rapid.T, h string) {
			left := time.Duration(rapid.IntRange(100, 4000).Draw(t, "left")) * time.Millisecond
			w.acquire(h, traffic.Class(rapid.IntRange(0, 1).Draw(t, "class")), left)
		}
		host := func(t *rapid.T) string { return rapid.SampledFrom(hosts).Draw(t, "host") }
		each := func(f func(*simPermit)) func(*rapid.T) {
			return func(t *rapid.T) {
				n := rapid.Uint64Range(max(w.number, 8)-7, max(w.number, 8)).Draw(t, "number")
				for _, u := range w.permits {
					if u.id.Number == n {
						f(u)
						return
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"acquire 1": func(t *rapid.T) { acquire(t, host(t)) },
			"burst": func(t *rapid.T) {
				h := host(t)
				for range 4 {
					acquire(t, h)
					if u := w.permits[ID{w.holder(h), w.number}]; u != nil {
						w.send(u)
					}
				}
			},
			"answers": func(*rapid.T) {
				for _, h := range hosts {
					w.answer(h)
				}
			},
			"send 1":         each(w.send),
			"send 2":         each(w.send),
			"stream":         each(w.stream),
			"renew":          each(w.renew),
			"done":           each(func(u *simPermit) { w.end(u, OutcomeDone, true) }),
			"release lost":   each(func(u *simPermit) { w.end(u, OutcomeDone, false) }),
			"abandon":        each(func(u *simPermit) { w.end(u, OutcomeAbandoned, true) }),
			"failed":         each(func(u *simPermit) { w.end(u, OutcomeFailed, true) }),
			"pass":           func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"pass long":      func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(3, 50).Draw(t, "s")) * time.Second) },
			"restart":        func(t *rapid.T) { w.restart(host(t)) },
			"hear restarted": func(t *rapid.T) { w.pool.HolderRestarted(w.now, w.holder(host(t))) },
			"freeze or thaw": func(t *rapid.T) { w.freeze(host(t)) },
			"failover":       func(*rapid.T) { w.failover(hosts); w.announce() },
			"answer":         func(t *rapid.T) { w.answer(host(t)) },
			"": func(t *rapid.T) {
				w.collect()
				w.check(t)
			},
		})
		full += w.full
	})
	if full < 1000 {
		t.Fatalf("targets were full after a failover only %d times, too few to test the limit", full)
	}
}

// Guards against a slot freed while a stalled stream still runs: its holder is
// cut off from the coordinator, then frozen, then resumed.
func TestStalledStream(t *testing.T) {
	for _, renewed := range []bool{false, true} {
		for cut := time.Duration(0); cut <= LostAfter; cut += 2 * time.Second {
			for frozen := time.Duration(0); frozen <= stallTimeout; frozen += 5 * time.Second {
				w := newSimulation(1)
				w.pass(2 * time.Second)
				w.acquire("h1", traffic.Short, 4*time.Second)
				u := w.permits[ID{w.holder("h1"), w.number}]
				w.send(u)
				w.pass(4*time.Second - 200*time.Millisecond)
				w.stream(u)
				if renewed {
					w.renew(u)
				}
				w.pass(cut)
				w.freeze("h1")
				w.passWithContention(t, frozen)
				w.freeze("h1")
				w.passWithContention(t, 20*time.Second)
				if w.pool.targets[address(0)].outstanding > 1 {
					t.Fatal("the target has more permits than slots")
				}
			}
		}
	}
}

// passWithContention advances the clock by d while the other host keeps requesting
// a slot.
func (w *simulation) passWithContention(t *testing.T, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(200 * time.Millisecond)
		w.acquire("h2", traffic.Short, time.Second)
		for _, u := range w.permits {
			w.send(u) // does nothing before its grant
		}
		w.check(t)
	}
}
