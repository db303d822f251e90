package faults

import (
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Guards against a zone that stops serving, runs bookings or takes over slots
// while a silent partition separates it from all others.
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
			t.Errorf("a zone without a majority of claim stores ran a booking: %+v", got)
		}
		if got.outcome != "unknown" {
			t.Errorf("without a majority of claim stores nobody knows whether an earlier send ran, outcome %q", got.outcome)
		}
		key = newKey()
		got = send(http.MethodPost, "http://"+d.host(entry).HTTP+"/s/bookings/book", key, "Hornbeam-Resend", "false")
		if got.outcome != "not-run" {
			t.Errorf("a first send in a cut-off zone: outcome %q, want not-run", got.outcome)
		}
		cut = append(cut, key)
	}
	for range 3 {
		d.mustRollout(d.next("127.3.101.200:9000"))
	}
	before := d.versionAt(entry)
	if before == 0 || before >= d.current.Version {
		t.Errorf("version %d in the cut-off zone, %d outside", before, d.current.Version)
	}
	d.network.heal()
	d.waitVersion(d.current.Version)
	runs, above := d.runs()
	for _, key := range cut {
		if runs[key] != 0 {
			t.Errorf("key %s was refused as not run and ran %d times", key, runs[key])
		}
	}
	if above != 0 {
		t.Errorf("%d requests came to targets above their slots", above)
	}
	d.eventually("bookings work again", func() bool { return d.book(entry, newKey()).outcome == "done" })
}

// Guards against a leader that goes on accepting while it is cut off, and
// against a host that disturbs the others when it comes back.
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
		t.Errorf("the return of %s moved the leadership from %s to %s", old, leader, now)
	}
	// The version that the isolated host was asked for may be accepted now or
	// never; the history goes on either way.
	d.eventually("roll-outs go on", func() bool {
		status, _ := d.submit("first", leader, d.next(""), d.root)
		if status == 409 {
			status, _ = d.submit("second", leader, stale, d.root)
		}
		return status == 200
	})
}

// Guards against a host whose messages arrive but whose answers do not: it
// must neither keep a zone without a coordinator nor break slots.
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
