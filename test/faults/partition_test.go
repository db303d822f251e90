package faults

import (
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Guards against an availability zone that, while a silent partition separates it from
// all others, stops serving repeatable requests, runs bookings or takes over slots.
func TestZoneCutOff(t *testing.T) {
	d := start(t, true)
	inside, outside := d.splitByZone("west-a")
	entry := d.hostNames(bundle.RoleEntry, "west-a")[0]
	d.network.isolate(inside, outside)
	d.eventually("the zone serves repeatable requests", func() bool { return d.read(entry).outcome == "done" })
	var cut []string
	for range 5 {
		key := newKey()
		got := d.book(entry, key)
		if got.outcome == "done" || got.outcome == "replayed" {
			t.Errorf("booking in the cut-off zone, without a majority of claim stores: %+v, want it not confirmed", got)
		}
		if got.outcome != "unknown" {
			t.Errorf("possible resend in the cut-off zone: outcome %q, want unknown: without a majority of claim stores an earlier run cannot be ruled out", got.outcome)
		}
		key = newKey()
		got = send(http.MethodPost, "http://"+d.host(entry).HTTP+"/s/bookings/book", key, "Hornbeam-Resend", "false")
		if got.outcome != "not-run" {
			t.Errorf("first send in the cut-off zone: outcome %q, want not-run", got.outcome)
		}
		cut = append(cut, key)
	}
	for range 3 {
		d.mustRollout(d.next("127.3.101.200:9000"))
	}
	before := d.versionAt(entry)
	if before == 0 || before >= d.current.Version {
		t.Errorf("version %d in force in the cut-off zone, want an older one than version %d outside", before, d.current.Version)
	}
	d.network.heal()
	d.waitVersion(d.current.Version)
	runs, above := d.runs()
	for _, key := range cut {
		if runs[key] != 0 {
			t.Errorf("booking %s was refused as not run but ran %d times", key, runs[key])
		}
	}
	if above != 0 {
		t.Errorf("%d requests reached targets while all their slots were taken, want 0", above)
	}
	d.eventually("bookings work again", func() bool { return d.book(entry, newKey()).outcome == "done" })
}

// Guards against a leader that goes on accepting versions while it is cut off, and
// against its return forcing a change of the leader.
func TestLeaderIsolatedAndReturned(t *testing.T) {
	d := start(t, true)
	old := d.waitLeader()
	var others []string
	for _, h := range d.bundle.Hosts {
		if h.Name != old {
			others = append(others, h.Name)
		}
	}
	d.network.isolate([]string{old}, others)
	leader := d.waitLeader(old)
	for range 3 {
		d.mustRollout(d.next("127.3.101.200:9000"))
	}
	stale := d.next("127.3.101.201:9000")
	if status, text := d.submit("second", old, stale, d.root); status == 200 {
		t.Errorf("an isolated host accepted a version: %s", text)
	}
	d.network.heal()
	time.Sleep(2 * time.Second) // several election timeouts
	if now := d.waitLeader(); now != leader {
		t.Errorf("return of host %s: leader changed from %s to %s", old, leader, now)
	}
	// The version submitted to the isolated host may still be accepted or not.
	// Roll-outs must be possible in both cases.
	d.eventually("roll-outs go on", func() bool {
		status, _ := d.submit("first", leader, d.next(""), d.root)
		if status == 409 {
			status, _ = d.submit("second", leader, stale, d.root)
		}
		return status == 200
	})
}

// Guards against failures of the zone's coordination while messages between two entry
// hosts pass in one direction only: it must neither leave the zone without a coordinator
// nor let requests exceed the slots of targets.
func TestOneWayCut(t *testing.T) {
	d := start(t, true)
	entries := d.hostNames(bundle.RoleEntry, "east-a")
	all := d.bookDuring(6, 40, func() {
		d.network.cut(entries[0], entries[1])
		time.Sleep(4 * time.Second)
		d.network.heal()
		d.network.cut(entries[1], entries[0])
		time.Sleep(4 * time.Second)
		d.network.heal()
	})
	d.checkBookings(all)
}
