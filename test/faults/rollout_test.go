package faults

import (
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// watchVersions polls the version in force at every entry host until stop is closed.
// The returned function waits for the polls to end and returns how often a version was
// older than one seen before at the same host.
func (d *deployment) watchVersions(stop <-chan struct{}) (reverted func() int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	count := 0
	for _, name := range d.hostNames(bundle.RoleEntry, "") {
		wg.Go(func() {
			newest := uint64(0)
			for {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
				}
				v := d.versionAt(name)
				if v != 0 && v < newest {
					mu.Lock()
					count++
					mu.Unlock()
				}
				newest = max(newest, v)
			}
		})
	}
	return func() int { wg.Wait(); return count }
}

// waitVersion waits until every entry host has the version in force.
func (d *deployment) waitVersion(version uint64) {
	d.t.Helper()
	for _, name := range d.hostNames(bundle.RoleEntry, "") {
		d.eventually(name+" has the newest version in force", func() bool { return d.versionAt(name) == version })
	}
}

// Guards against accepted versions that are lost or reverted when the leader and
// entry hosts are killed during roll-outs.
func TestKillDuringRollOuts(t *testing.T) {
	d := start(t, false)
	stop := make(chan struct{})
	reverted := d.watchVersions(stop)
	for i := range 24 {
		switch i % 8 {
		case 2:
			name := d.waitLeader()
			d.hosts[name].Kill()
			defer d.run(name, false)
			d.mustRollout(d.next("127.3.101.200:9000"))
			d.run(name, false)
		case 5:
			name := d.hostNames(bundle.RoleEntry, "")[i%5]
			d.hosts[name].Kill()
			d.mustRollout(d.next(""))
			d.run(name, false)
		default:
			d.mustRollout(d.next("127.3.102.200:9000"))
		}
	}
	d.waitVersion(d.current.Version)
	close(stop)
	if n := reverted(); n != 0 {
		t.Errorf("entry hosts went back to an older version %d times, want 0", n)
	}
}

// Guards against the loss of accepted versions and claims when a control host loses
// its disk and a second one loses its disk right after the repair of the first.
func TestSecondDiskLostAfterRepair(t *testing.T) {
	d := start(t, false)
	entry := d.hostNames(bundle.RoleEntry, "")[0]
	var keys []string
	var first []reply
	for range 30 {
		key := newKey()
		got := d.book(entry, key)
		if got.outcome != "done" {
			t.Fatalf("booking before the loss of the disks: %+v", got)
		}
		keys, first = append(keys, key), append(first, got)
	}
	for range 5 {
		d.mustRollout(d.next(""))
	}
	for _, name := range []string{"control-1", "control-2"} {
		d.hosts[name].Kill()
		if err := os.RemoveAll(filepath.Join(d.folder, "data", name)); err != nil {
			t.Fatal(err)
		}
		d.run(name, false)
		d.mustRollout(d.next(""))
		d.waitRepaired(name)
	}
	d.hosts["control-3"].Kill()
	d.mustRollout(d.next("127.3.101.200:9000"))
	d.waitVersion(d.current.Version)
	for i, key := range keys {
		got := d.book(entry, key)
		if got.outcome != "replayed" || got.body != first[i].body {
			t.Errorf("resend of booking %s after the loss of the disks: %+v, want the first response %q", key, got, first[i].body)
		}
	}
	runs, _ := d.runs()
	for _, key := range keys {
		if runs[key] != 1 {
			t.Errorf("booking %s ran %d times, want 1", key, runs[key])
		}
	}
}

// waitRepaired waits until a control host that lost its disk is a voter again and has
// copied all claims.
func (d *deployment) waitRepaired(name string) {
	d.t.Helper()
	d.eventually(name+" is repaired", func() bool {
		return send(http.MethodGet, "http://"+d.host(name).HTTP+"/readyz", "").status == http.StatusOK
	})
}

// Guards against two accepted versions with the same number, and against control
// hosts that give different answers to a resend.
func TestRacingOperators(t *testing.T) {
	d := start(t, false)
	for round := range 6 {
		a, b := d.next("127.3.101.201:9000"), d.next("127.3.101.202:9000")
		status := make([]int, 2)
		var wg sync.WaitGroup
		wg.Go(func() { status[0] = d.submitUntilDecided("first", "control-1", a) })
		wg.Go(func() { status[1] = d.submitUntilDecided("second", "control-2", b) })
		wg.Wait()
		if status[0] == status[1] {
			t.Fatalf("round %d: both operators got status %d, want one accepted and one refused", round, status[0])
		}
		winner, loser, operators := a, b, []string{"first", "second"}
		if status[1] == http.StatusOK {
			winner, loser, operators = b, a, []string{"second", "first"}
		}
		for _, control := range d.hostNames(bundle.RoleControl, "") {
			if got, text := d.submit(operators[0], control, winner, d.root); got != http.StatusOK {
				t.Errorf("round %d: resend of the accepted version to %s: %d %s", round, control, got, text)
			}
			if got, text := d.submit(operators[1], control, loser, d.root); got != http.StatusConflict {
				t.Errorf("round %d: resend of the refused version to %s: %d %s", round, control, got, text)
			}
		}
		d.current, d.root = winner, winner.Root()
	}
	d.waitVersion(d.current.Version)
}

// submitUntilDecided submits a version until the control host accepts or refuses it. It
// returns the status, 0 after 200 submissions without a decision.
func (d *deployment) submitUntilDecided(operator, control string, b *bundle.Bundle) int {
	for range 200 {
		if status, _ := d.submit(operator, control, b, d.root); status == http.StatusOK || status == http.StatusConflict {
			return status
		}
		time.Sleep(pollInterval)
	}
	return 0
}
