package faults

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// booking is a request with an idempotency key, together with its resends.
type booking struct {
	key      string
	first    string // body of the first confirmation
	last     string // last outcome that the caller got
	mismatch bool   // two confirmations with different bodies
}

// bookUntilSettled sends a booking through random entry hosts until it is confirmed,
// at most 40 times.
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

// checkBookings reports keys that ran twice, confirmed bookings that did not run,
// bookings refused as not run that did run, and requests above the slots of a target.
// At least half of the bookings must have been confirmed.
func (d *deployment) checkBookings(all []*booking) {
	d.t.Helper()
	runs, above := d.runs()
	confirmed := 0
	for _, b := range all {
		n := runs[b.key]
		switch {
		case n > 1:
			d.t.Errorf("booking %s ran %d times, want at most 1", b.key, n)
		case b.first != "" && n == 0:
			d.t.Errorf("booking %s was confirmed but did not run", b.key)
		case b.last == "not-run" && n != 0:
			d.t.Errorf("booking %s ran although its last outcome was \"not-run\"", b.key)
		case b.mismatch:
			d.t.Errorf("booking %s was confirmed by two responses with different bodies", b.key)
		}
		if b.first != "" {
			confirmed++
		}
	}
	if above != 0 {
		d.t.Errorf("%d requests reached targets while all their slots were taken, want 0", above)
	}
	if confirmed < len(all)/2 {
		d.t.Errorf("%d of %d bookings were confirmed, want at least half", confirmed, len(all))
	}
	d.t.Logf("%d bookings, %d confirmed, %d requests above slots", len(all), confirmed, above)
}

// bookDuring runs fault while callers make bookings, each caller the given number one
// after the other. It returns all bookings.
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

// Guards against bookings that run twice or lose their confirmation when entry hosts
// and control hosts are killed between claim, send, response and record.
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

// Guards against an entry host whose graceful shutdown hangs while a claim store is down.
func TestStopWithControlHostDown(t *testing.T) {
	d := start(t, false)
	name := d.hostNames(bundle.RoleEntry, "")[0]
	d.hosts["control-3"].Kill()
	if got := d.book(name, newKey()); got.outcome != "done" {
		t.Fatalf("booking with one claim store down: %+v", got)
	}
	if err := d.hosts[name].Stop(waitTimeout); err != nil {
		t.Errorf("graceful shutdown with one claim store down: %v", err)
	}
}

// Guards against slots that are granted to others while a frozen entry host or a
// frozen zone coordinator still uses them, and against requests sent on expired leases
// after the freeze.
func TestFreezeBeyondLeases(t *testing.T) {
	d := start(t, false)
	all := d.bookDuring(8, 60, func() {
		for _, name := range d.hostNames(bundle.RoleEntry, "east-a") {
			if err := d.hosts[name].Freeze(); err != nil {
				t.Error(err)
			}
			time.Sleep(3 * time.Second) // longer than a lease of 2 s
			if err := d.hosts[name].Resume(); err != nil {
				t.Error(err)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	d.checkBookings(all)
}
