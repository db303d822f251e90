package core

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
)

// loadStep is the change of an average, in tenths, that entry hosts are told.
const loadStep = 2

type loadRecord struct {
	average affinity.LoadAverage
	told    uint16
	number  uint64 // of the last change that entry hosts are told
}

// loadTable averages the loads that entry hosts report of targets.
type loadTable struct {
	mu      sync.Mutex
	number  uint64
	records map[string]*loadRecord
}

func newLoadTable() *loadTable { return &loadTable{records: map[string]*loadRecord{}} }

// note takes the reports of an entry host.
func (t *loadTable) note(now time.Duration, loads []fleet.TargetLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range loads {
		r, ok := t.records[l.Target]
		if !ok {
			r = &loadRecord{}
			t.records[l.Target] = r
		}
		r.average.Add(now, float64(l.Tenths))
		value := uint16(r.average.Value(now))
		if value >= r.told+loadStep || value+loadStep <= r.told {
			t.number++
			r.told, r.number = value, t.number
		}
	}
}

// since returns the averages that changed after a number.
func (t *loadTable) since(number uint64) ([]fleet.TargetLoad, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []fleet.TargetLoad
	for name, r := range t.records {
		if r.number > number {
			list = append(list, fleet.TargetLoad{Target: name, Tenths: r.told})
		}
	}
	return list, t.number
}

// keep drops the targets that known does not hold.
func (t *loadTable) keep(known func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.records {
		if !known(name) {
			delete(t.records, name)
		}
	}
}
