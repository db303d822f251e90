package slots

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

var start = time.Unix(1_000_000, 0)

// fixture is a pool with a manual clock and numbered requests from one host.
type fixture struct {
	*testing.T
	pool   *Pool
	now    time.Time
	number uint64
	seq    map[string]uint64
}

func newFixture(t *testing.T, warmUp time.Duration, hosts ...string) *fixture {
	p := Policy{Services: map[string]Limits{"s": {Slots: 4, WarmUp: warmUp, Timeout: 2 * time.Second}}}
	f := &fixture{T: t, now: start, seq: map[string]uint64{}}
	f.pool = NewPool(f.now, p, hosts, 2*time.Second)
	return f
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

// announce sends an announcement for each of the targets 1 to n, with its number
// of slots.
func (f *fixture) announce(slots ...int) {
	f.Helper()
	for i, n := range slots {
		f.seq[address(i+1)]++
		a := Announcement{Service: "s", Address: address(i + 1), Incarnation: 1, Sequence: f.seq[address(i+1)], Slots: n, State: Ready}
		if err := f.pool.Announce(f.now, a); err != nil {
			f.Fatal(err)
		}
	}
}

// after advances the clock by d, announcing the targets and ticking the pool each
// second.
func (f *fixture) after(d time.Duration, slots ...int) {
	f.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = earlier(end, f.now.Add(time.Second))
		f.announce(slots...)
		f.pool.Tick(f.now)
	}
}

// request returns a new request with the given time left until its deadline and
// maximum wait.
func (f *fixture) request(class traffic.Class, left, wait time.Duration, exclude ...string) Request {
	f.number++
	return Request{
		ID: ID{Holder{"h", "1"}, f.number}, Service: "s", Class: class,
		Deadline: f.now.Add(left), MaxWait: wait, Exclude: exclude,
	}
}

// take acquires a slot and fails the test if none is free.
func (f *fixture) take(exclude ...string) Grant {
	f.Helper()
	g, queued, err := f.pool.Acquire(f.now, f.request(traffic.Short, time.Second, 0, exclude...))
	if err != nil || queued {
		f.Fatalf("no slot: queued %v, error %v", queued, err)
	}
	return g
}

// free returns how many slots the pool would grant now.
func (f *fixture) free() int {
	f.Helper()
	var taken []ID
	for {
		r := f.request(traffic.Short, time.Second, 0)
		if _, _, err := f.pool.Acquire(f.now, r); err != nil {
			break
		}
		taken = append(taken, r.ID)
	}
	for _, id := range taken {
		f.pool.Release(f.now, id, OutcomeUnsent)
	}
	return len(taken)
}

// wantFree fails the test unless the pool would grant exactly want slots.
func (f *fixture) wantFree(want int, why string) {
	f.Helper()
	if got := f.free(); got != want {
		f.Fatalf("%s: %d slots free, want %d", why, got, want)
	}
}
