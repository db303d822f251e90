package ctl

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/proc"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// TestLeaderKilled guards against accepted versions that are reverted, lost, or
// missing on some host after the leader is killed while two operators submit
// concurrently. It logs the delays from acceptance to in force.
func TestLeaderKilled(t *testing.T) {
	d := newDeployment(t)
	random := rand.New(rand.NewPCG(5, 6))
	var calm, killed, submitted []time.Duration
	for round := range *rounds {
		verb := []string{"drain", "undrain"}[round%2]
		inForce := d.watch()
		if r := d.run("ann", verb, "zone", "cork-a"); r != nil {
			accepted := time.Now()
			for _, at := range inForce(r.Accepted.Version) {
				calm = append(calm, max(0, at.Sub(accepted)))
			}
		}
		leader := d.leader()
		inForce = d.watch()
		start := time.Now()
		var wg sync.WaitGroup
		versions := make([]uint64, 2)
		accepted := make([]time.Time, 2)
		for i, op := range [][2]string{{"ann", "dublin-a"}, {"ben", "galway-a"}} {
			wg.Go(func() {
				if r := d.run(op[0], verb, "zone", op[1]); r != nil {
					versions[i], accepted[i] = r.Accepted.Version, time.Now()
				}
			})
		}
		time.Sleep(time.Duration(random.IntN(12)) * time.Millisecond)
		d.procs[leader].Kill()
		wg.Wait()
		newest := max(versions[0], versions[1])
		at := accepted[slices.Index(versions, newest)]
		for _, seen := range inForce(newest) {
			killed = append(killed, max(0, seen.Sub(at)))
			submitted = append(submitted, seen.Sub(start))
		}
		d.start(leader, false)
		d.checkHistory()
	}
	report(t, "acceptance to in force, no failure", calm)
	report(t, "acceptance to in force, leader killed", killed)
	report(t, "submission to in force, leader killed", submitted)
}

// TestLeaderFrozen guards against a leader that is frozen, replaced and resumed,
// and then restores an older version.
func TestLeaderFrozen(t *testing.T) {
	d := newDeployment(t)
	var submitted []time.Duration
	for round := range *rounds {
		leader := d.procs[d.leader()]
		d.must(leader.Freeze())
		inForce := d.watch()
		start := time.Now()
		r := d.run("ann", []string{"drain", "undrain"}[round%2], "zone", "cork-a")
		d.must(leader.Resume())
		if r == nil {
			return
		}
		for _, seen := range inForce(r.Accepted.Version) {
			submitted = append(submitted, seen.Sub(start))
		}
		d.checkHistory()
	}
	report(t, "submission to in force, leader frozen", submitted)
}

// TestEntryRestart guards against restarted entry hosts that become ready without
// a bundle, or with an older one than the other hosts of their zone have.
func TestEntryRestart(t *testing.T) {
	d := newDeployment(t)
	r := d.run("ann", "drain", "zone", "sligo-b", "--wait")
	eachControl := func(do func(p *proc.Process)) {
		for _, h := range d.bundle.Hosts {
			if h.Role == bundle.RoleControl {
				do(d.procs[h.Name])
			}
		}
	}
	eachControl((*proc.Process).Kill) // the restarted host must learn the version from its zone
	victim := d.entries()[0]
	for range *rounds {
		d.procs[victim.Name].Kill()
		d.start(victim.Name, false)
		deadline := time.Now().Add(processTimeout)
		for {
			resp, err := http.Get("http://" + victim.HTTP + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
			}
			version, versionErr := d.version(&victim)
			if err == nil && resp.StatusCode == http.StatusOK {
				if versionErr != nil || version != r.Accepted.Version {
					t.Fatalf("restarted host is ready with version %d, want %d as in its zone: %v", version, r.Accepted.Version, versionErr)
				}
				break
			}
			if time.Now().After(deadline) {
				t.Fatal("the restarted host did not become ready within the timeout")
			}
			time.Sleep(watchInterval)
		}
	}
}
