package faults

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// booking is one keyed request with all its resends.
type booking struct {
	key      string
	first    string // body of the first confirmation
	last     string // last outcome that a caller saw
	mismatch bool   // two confirmations with different bodies
}

// bookUntilSettled resends a booking through changing entry hosts until it is
// confirmed, or for a limited number of times.
func (d *deployment) bookUntilSettled(rnd *rand.Rand, entries []string) *booking {
	b := &booking{key: newKey()}
	for range 40 {
		got := d.book(entries[rnd.IntN(len(entries))], b.key)
		if got.outcome != "" {
			b.last = got.outcome
		}
		if got.outcome == "done" || got.outcome == "replayed" {
			b.mismatch = b.first != "" && b.first != got.body
			b.first = got.body
			return b
		}
		time.Sleep(pollInterval)
	}
	return b
}

// checkBookings counts doubled runs, lost confirmations and untrue refusals.
func (d *deployment) checkBookings(all []*booking) {
	d.t.Helper()
	runs, above := d.runs()
	confirmed := 0
	for _, b := range all {
		n := runs[b.key]
		switch {
		case n > 1:
			d.t.Errorf("key %s ran %d times", b.key, n)
		case b.first != "" && n == 0:
			d.t.Errorf("key %s was confirmed but did not run", b.key)
		case b.last == "not-run" && n != 0:
			d.t.Errorf("key %s ran, the last answer was \"not run\"", b.key)
		case b.mismatch:
			d.t.Errorf("key %s was confirmed with two different answers", b.key)
		}
		if b.first != "" {
			confirmed++
		}
	}
	if above != 0 {
		d.t.Errorf("%d requests came to targets above their slots", above)
	}
	if confirmed < len(all)/2 {
		d.t.Errorf("only %d of %d bookings were confirmed", confirmed, len(all))
	}
	d.t.Logf("%d bookings, %d confirmed, %d requests above slots", len(all), confirmed, above)
}

// bookDuring lets callers book with resends while fault runs.
func (d *deployment) bookDuring(callers, each int, fault func()) []*booking {
	entries := d.hostNames(bundle.RoleEntry, "")
	var mu sync.Mutex
	var all []*booking
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(c), 17))
			for range each {
				b := d.bookUntilSettled(rnd, entries)
				mu.Lock()
				all = append(all, b)
				mu.Unlock()
			}
		})
	}
	fault()
	wg.Wait()
	return all
}

// Guards against a second run or a lost confirmation when entry hosts and
// control hosts are killed between claim, send, answer and record.
func TestKillDuringBookings(t *testing.T) {
	d := start(t, false)
	victims := []string{"east-a-entry-1", "control-1", "east-b-entry-2", "control-2", "west-a-entry-1", "east-a-entry-2"}
	all := d.bookDuring(8, 40, func() {
		for _, name := range victims {
			time.Sleep(300 * time.Millisecond)
			d.hosts[name].Kill()
			time.Sleep(200 * time.Millisecond)
			d.run(name, false)
		}
	})
	d.checkBookings(all)
}

// Guards against an entry host that does not end because a claim store is down.
func TestStopWithControlHostDown(t *testing.T) {
	d := start(t, false)
	name := d.hostNames(bundle.RoleEntry, "")[0]
	d.hosts["control-3"].Kill()
	if got := d.book(name, newKey()); got.outcome != "done" {
		t.Fatalf("booking with one claim store down: %+v", got)
	}
	if err := d.hosts[name].Stop(waitTimeout); err != nil {
		t.Errorf("graceful shutdown: %v", err)
	}
}

// Guards against slots that are given away while a frozen entry host, or a
// frozen zone coordinator, still uses them, and against late sends after a freeze.
func TestFreezeBeyondLeases(t *testing.T) {
	d := start(t, false)
	all := d.bookDuring(8, 60, func() {
		for _, name := range d.hostNames(bundle.RoleEntry, "east-a") {
			if err := d.hosts[name].Freeze(); err != nil {
				t.Error(err)
			}
			time.Sleep(3 * time.Second) // longer than the leases of 2 s
			if err := d.hosts[name].Resume(); err != nil {
				t.Error(err)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	d.checkBookings(all)
}
