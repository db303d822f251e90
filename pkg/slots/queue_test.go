package slots

import (
	"errors"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// queued adds a request that must wait and returns its ID.
func (f *fixture) queued(class traffic.Class, wait time.Duration, exclude ...string) ID {
	f.Helper()
	r := f.request(class, 10*time.Second, wait, exclude...)
	if _, queued, err := f.pool.Acquire(f.now, r); !queued || err != nil {
		f.Fatalf("request %d did not queue: %v", r.ID.Number, err)
	}
	return r.ID
}

// wantDecided fails the test unless the requests got slots, in this order.
func (f *fixture) wantDecided(ids ...ID) {
	f.Helper()
	got := f.pool.Decisions()
	if len(got) != len(ids) {
		f.Fatalf("%d decisions, want %d: %v", len(got), len(ids), got)
	}
	for i, id := range ids {
		if got[i].ID != id || got[i].Err != nil {
			f.Fatalf("decision %d is %v, want a slot for %d", i, got[i], id.Number)
		}
	}
}

// Guards against requests of one class served out of order, and against bulk
// requests served before short ones.
func TestQueueOrder(t *testing.T) {
	f := newFixture(t, 0)
	f.announce(1, 1)
	first, second := f.take(), f.take()
	bulk := f.queued(traffic.Bulk, time.Minute)
	a := f.queued(traffic.Short, time.Minute, first.Target)
	b := f.queued(traffic.Short, time.Minute)
	f.pool.Release(f.now, first.ID, OutcomeDone)
	f.wantDecided(b) // a excludes this target and must not block b
	f.pool.Release(f.now, second.ID, OutcomeDone)
	f.wantDecided(a)
	f.pool.Release(f.now, b, OutcomeDone)
	f.wantDecided(bulk)
}

// Guards against waits beyond the deadline, and against queueing requests that
// cannot get a slot in time.
func TestQueueIsBoundedByDeadline(t *testing.T) {
	f := newFixture(t, 0)
	f.announce(1)
	held := f.take()
	f.queued(traffic.Short, 3*time.Second)
	var busy *BusyError
	for range 5 { // one slot each second
		f.after(time.Second, 1)
		f.pool.Release(f.now, held.ID, OutcomeDone)
		held = f.pool.Decisions()[0].Grant
		f.queued(traffic.Short, 3*time.Second)
	}
	_, queued, err := f.pool.Acquire(f.now, f.request(traffic.Short, time.Second, time.Second))
	if queued || !errors.As(err, &busy) || busy.RetryAfter < minRetryAfter {
		t.Fatalf("a second request with 1 s left got queued %v, error %v, want a refusal", queued, err)
	}
	if _, queued, _ = f.pool.Acquire(f.now, f.request(traffic.Short, 5*time.Second, 5*time.Second)); !queued {
		t.Fatal("a request with 5 s left was not queued")
	}
	f.after(2*time.Second, 1) // one slot per second would suffice, but none was freed for 2 s
	if _, queued, _ = f.pool.Acquire(f.now, f.request(traffic.Short, 3500*time.Millisecond, 3500*time.Millisecond)); queued {
		t.Fatal("a request joined a stalled queue that cannot serve it in time")
	}
	f.after(5*time.Second, 1)
	for _, d := range f.pool.Decisions() {
		if !errors.As(d.Err, &busy) {
			t.Fatalf("decision after all waits ended is %v, want a BusyError", d)
		}
	}
	if len(f.pool.waiting) != 0 || !f.pool.service("s").queue.empty() {
		t.Fatal("a request is still queued after its deadline")
	}
}

// Guards against short requests refused because of queued bulk requests, which
// they overtake.
func TestBulkDoesNotCountForShort(t *testing.T) {
	f := newFixture(t, 0)
	f.announce(1)
	f.take()
	for range 5 {
		f.queued(traffic.Bulk, time.Minute)
	}
	f.after(5*time.Second, 1)
	f.queued(traffic.Short, 9*time.Second)
}

// Guards against queueing requests of a service that has no targets.
func TestNoTargets(t *testing.T) {
	f := newFixture(t, 0)
	f.now = f.now.Add(AnnounceLifetime)
	if _, queued, err := f.pool.Acquire(f.now, f.request(traffic.Short, time.Minute, time.Minute)); queued || err == nil {
		t.Fatalf("a service without targets answered queued %v, error %v, want a refusal", queued, err)
	}
}

// Guards against slots lost because a release arrives before its request, and
// against duplicated requests that take two slots.
func TestCrossedMessages(t *testing.T) {
	f := newFixture(t, 0)
	f.announce(2)
	r := f.request(traffic.Short, time.Second, 0)
	f.pool.Release(f.now, r.ID, OutcomeUnsent)
	if _, _, err := f.pool.Acquire(f.now, r); err == nil {
		t.Fatal("a request was granted after its release")
	}
	r = f.request(traffic.Short, time.Second, 0)
	if _, _, err := f.pool.Acquire(f.now, r); err != nil {
		t.Fatal(err)
	}
	_, _, _ = f.pool.Acquire(f.now, r)
	f.wantFree(1, "after a request that arrived twice")
	f.pool.Release(f.now, r.ID, OutcomeDone)
	f.pool.Release(f.now, r.ID, OutcomeDone)
	f.wantFree(2, "after a release that arrived twice")
}
