package agree

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed repeats the same runs; flags on the command line take precedence.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "60")
}

// groupRun drives a simulated group through faults.
type groupRun struct {
	*sim
	minority bool // at most a minority is without its disk at a time, so that the group must recover
}

// event is a fault, repair or call on a host. It does nothing where it does not
// apply.
type event struct {
	name string
	do   func(r *groupRun, v *server)
}

var events = []event{
	{"write", func(r *groupRun, v *server) { r.ifLeading(v, r.propose) }},
	{"read", func(r *groupRun, v *server) { r.ifLeading(v, r.read) }},
	{"compact", func(r *groupRun, v *server) { r.ifUp(v, r.compact) }},
	{"crash before save", func(r *groupRun, v *server) { v.crash = beforeSave }},
	{"crash before send", func(r *groupRun, v *server) { v.crash = beforeSend }},
	{"crash before apply", func(r *groupRun, v *server) { v.crash = beforeApply }},
	{"restart", func(r *groupRun, v *server) { r.start(v) }},
	{"freeze", func(r *groupRun, v *server) { v.frozen = true }},
	{"thaw", func(r *groupRun, v *server) { v.frozen = false }},
	{"isolate", func(r *groupRun, v *server) { v.isolated = true }},
	{"return", func(r *groupRun, v *server) { v.isolated = false }},
	{"isolate leader", func(r *groupRun, v *server) { r.ifLeading(v, func(v *server) { v.isolated = true }) }},
	{"lose disk", (*groupRun).loseDisk},
}

// ifUp calls do if the host is running.
func (r *groupRun) ifUp(v *server, do func(*server)) {
	if v.node != nil && !v.frozen {
		do(v)
	}
}

// ifLeading calls do if the host considers itself the leader, rightly or not.
func (r *groupRun) ifLeading(v *server, do func(*server)) {
	if v.node != nil && !v.frozen && v.node.role == Leader {
		do(v)
	}
}

// loseDisk replaces the host's disk by an empty one, unless that would leave more
// than a minority without their disks and r.minority is set.
func (r *groupRun) loseDisk(v *server) {
	if !r.minority || !r.committedMembership().IsVoter(v.id) || r.countNonVoters()+1 <= (len(r.servers)-1)/2 {
		r.replaceDisk(v)
	}
}

// runRandomEvents runs steps with random calls and events; percent is the share of
// steps with an event. Repairs are as frequent, so that the group makes progress
// in between.
func (r *groupRun) runRandomEvents(steps, percent int) {
	for range steps {
		r.run(1)
		v := r.servers[r.rand.IntN(len(r.servers))]
		switch n := r.rand.IntN(100); {
		case n < percent:
			events[r.rand.IntN(len(events))].do(r, v)
		case n < 2*percent:
			v.isolated, v.frozen = false, false
			if v.node == nil {
				r.start(v)
			}
		case n < 2*percent+20:
			r.ifLeading(v, r.propose)
		case n < 2*percent+25:
			r.ifLeading(v, r.read)
		}
	}
}

// network draws new rates of lost and delayed messages.
func (r *groupRun) network(t *rapid.T) {
	r.loss = rapid.SampledFrom([]float64{0.02, 0, 0.1, 0.3}).Draw(t, "loss")
	r.delay = rapid.SampledFrom([]float64{0.3, 0.8, 0, 0.95}).Draw(t, "late")
}

func (r *groupRun) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"run": func(t *rapid.T) { r.run(rapid.SampledFrom([]int{30, 5, 100, 1}).Draw(t, "steps")) },
		"storm": func(t *rapid.T) {
			r.runRandomEvents(rapid.SampledFrom([]int{300, 1000}).Draw(t, "steps"), rapid.SampledFrom([]int{3, 10, 30}).Draw(t, "percent"))
		},
		"network": r.network,
		"long time": func(t *rapid.T) {
			r.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
		},
		"": func(t *rapid.T) {
			if r.problem != "" {
				t.Fatal(r.problem)
			}
		},
	}
	for _, e := range events {
		actions[e.name] = func(t *rapid.T) {
			e.do(r, r.servers[rapid.IntRange(0, len(r.servers)-1).Draw(t, "host")])
		}
	}
	return actions
}

// TestAgreement guards against diverging logs, lost committed entries, stale reads
// and overlapping leases. Messages are lost, repeated, reordered and delayed;
// hosts crash at every point of an output, lose disks, freeze and are isolated.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5, 4, 1}).Draw(t, "hosts")
		r := &groupRun{sim: newSim(rapid.Uint64().Draw(t, "seed"), n), minority: rapid.Bool().Draw(t, "minority")}
		r.run(100)
		r.network(t)
		t.Repeat(r.actions())
		r.heal()
		r.run(1000)
		if r.minority {
			r.checkRecovered(t)
		}
		if r.problem != "" {
			t.Fatal(r.problem)
		}
	})
}

// checkRecovered checks that after the repair all hosts are voters and apply a new
// command.
func (r *groupRun) checkRecovered(t *rapid.T) {
	if n := r.countNonVoters(); n > 0 {
		t.Fatalf("%d hosts are not voters 20 s after the last fault, membership %+v", n, r.committedMembership())
	}
	for _, v := range r.servers {
		if v.node.role == Leader {
			r.propose(v)
		}
	}
	r.run(50)
	for _, v := range r.servers {
		if v.value != fmt.Sprint(r.values) {
			t.Fatalf("%s applied %q last instead of the newest command", v.id, v.value)
		}
	}
}
