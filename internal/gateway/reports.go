package gateway

import (
	"sync"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

// reports passes on to control hosts what this host sees of targets, and holds
// what all entry hosts together have seen.
type reports struct {
	mu       sync.Mutex
	outboxes map[string]map[string]*fleet.TargetReport // by control host and target
	states   map[string]fleet.TargetState
}

func newReports() *reports {
	return &reports{outboxes: map[string]map[string]*fleet.TargetReport{}, states: map[string]fleet.TargetState{}}
}

// updateOutboxes changes the waiting reports about a target; the lock is held.
func (r *reports) updateOutboxes(target string, change func(*fleet.TargetReport)) {
	for _, box := range r.outboxes {
		report, ok := box[target]
		if !ok {
			report = &fleet.TargetReport{Target: target, Tenths: -1}
			box[target] = report
		}
		change(report)
	}
}

// load takes the load that a target reported.
func (r *reports) load(target string, load evidence.Load) {
	if load.Slots <= 0 {
		return
	}
	tenths := int16(min(10*(load.Running+load.Waiting)/load.Slots, 1000))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateOutboxes(target, func(report *fleet.TargetReport) { report.Tenths = tenths })
}

// work takes the outcome of a request.
func (r *reports) work(target string, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateOutboxes(target, func(report *fleet.TargetReport) {
		if good {
			report.Good++
		} else {
			report.Bad++
		}
	})
}

// take returns the reports for a control host since the last call.
func (r *reports) take(control string) []fleet.TargetReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	box := r.outboxes[control]
	r.outboxes[control] = map[string]*fleet.TargetReport{}
	list := make([]fleet.TargetReport, 0, len(box))
	for _, report := range box {
		list = append(list, *report)
	}
	return list
}

// forget forgets a control host that is no longer asked.
func (r *reports) forget(control string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outboxes, control)
}

// apply takes the states that a control host knows.
func (r *reports) apply(list []fleet.TargetState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range list {
		r.states[s.Target] = s
	}
}

// failing reports whether a target fails much more than others of its service.
func (r *reports) failing(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[target].Failing
}

// averages returns the loads of the targets that known holds, as requests at
// each slot, and forgets the others.
func (r *reports) averages(known func(string) bool) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make(map[string]float64, len(r.states))
	for target, s := range r.states {
		if !known(target) {
			delete(r.states, target)
			continue
		}
		list[target] = float64(s.Tenths) / 10
	}
	return list
}
