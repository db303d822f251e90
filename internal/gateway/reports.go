package gateway

import (
	"sync"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

// reports collects what this host observes of targets for each control host, and
// holds the states that result from the reports of all entry hosts.
type reports struct {
	mu       sync.Mutex
	outboxes map[string]map[string]*fleet.TargetReport // by control host and target
	states   map[string]fleet.TargetState
}

func newReports() *reports {
	return &reports{outboxes: map[string]map[string]*fleet.TargetReport{}, states: map[string]fleet.TargetState{}}
}

// updateOutboxes applies a change to the pending report about a target in every
// outbox; the lock is held.
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

// load records the load that a target reported, in tenths of requests per slot.
func (r *reports) load(target string, load evidence.Load) {
	if load.Slots <= 0 {
		return
	}
	tenths := int16(min(10*(load.Running+load.Waiting)/load.Slots, 1000))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateOutboxes(target, func(report *fleet.TargetReport) { report.Tenths = tenths })
}

// work counts the outcome of a request at a target.
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

// take returns the reports for a control host since the last call. The first call
// for a control host creates its outbox and returns none.
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

// forget removes the outbox of a control host that is no longer watched.
func (r *reports) forget(control string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outboxes, control)
}

// apply replaces the states of the targets in list.
func (r *reports) apply(list []fleet.TargetState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range list {
		r.states[s.Target] = s
	}
}

// failing reports whether a target fails much more often than the others of its
// service.
func (r *reports) failing(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[target].Failing
}

// averages returns the load of each known target in requests per slot. It drops the
// states of targets that are not known.
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
