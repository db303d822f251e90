package gateway

import (
	"sync"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

// loads passes the loads that targets report on to control hosts, and holds the
// averages over all entry hosts that come back.
type loads struct {
	mu       sync.Mutex
	outboxes map[string]map[string]uint16 // tenths by target, by control host
	averages map[string]float64           // requests at a target for each slot
}

func newLoads() *loads {
	return &loads{outboxes: map[string]map[string]uint16{}, averages: map[string]float64{}}
}

// note takes a target's report.
func (l *loads) note(target string, load evidence.Load) {
	if load.Slots <= 0 {
		return
	}
	tenths := uint16(min(10*(load.Running+load.Waiting)/load.Slots, 1000))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, box := range l.outboxes {
		box[target] = tenths
	}
}

// take returns the reports for a control host since the last call.
func (l *loads) take(control string) []fleet.TargetLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	box := l.outboxes[control]
	l.outboxes[control] = map[string]uint16{}
	list := make([]fleet.TargetLoad, 0, len(box))
	for target, tenths := range box {
		list = append(list, fleet.TargetLoad{Target: target, Tenths: tenths})
	}
	return list
}

// leave forgets a control host that is no longer asked.
func (l *loads) leave(control string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.outboxes, control)
}

// learn takes the averages of a control host.
func (l *loads) learn(list []fleet.TargetLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range list {
		l.averages[t.Target] = float64(t.Tenths) / 10
	}
}

// all returns the averages of the targets that known holds.
func (l *loads) all(known func(string) bool) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[string]float64, len(l.averages))
	for target, load := range l.averages {
		if !known(target) {
			delete(l.averages, target)
			continue
		}
		list[target] = load
	}
	return list
}
