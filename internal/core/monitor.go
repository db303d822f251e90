package core

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

const (
	// loadStep is the change of an average, in tenths, that entry hosts are told.
	loadStep = 2
	// idleLoad is the average, in tenths, below which they are told 0: no entry
	// host decides anything by such loads.
	idleLoad = 4
)

type judgeRecord struct {
	load   affinity.LoadAverage
	work   evidence.Tally
	told   fleet.TargetState
	number uint64 // of the last change that entry hosts are told
}

// judge puts together what all entry hosts saw of the targets. A single one
// sends a target too few requests to judge it soon.
type judge struct {
	mu      sync.Mutex
	number  uint64
	records map[string]*judgeRecord
}

func newJudge() *judge { return &judge{records: map[string]*judgeRecord{}} }

// note takes the reports of an entry host.
func (j *judge) note(now time.Duration, reports []fleet.TargetReport) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, report := range reports {
		r, ok := j.records[report.Target]
		if !ok {
			r = &judgeRecord{told: fleet.TargetState{Target: report.Target}}
			j.records[report.Target] = r
		}
		r.work.Add(now, float64(report.Good), float64(report.Bad))
		if report.Tenths < 0 {
			continue
		}
		r.load.Add(now, float64(report.Tenths))
		value := uint16(r.load.Value(now))
		if value < idleLoad {
			value = 0
		}
		if value >= r.told.Tenths+loadStep || value+loadStep <= r.told.Tenths {
			r.told.Tenths = value
			j.changed(r)
		}
	}
}

func (j *judge) changed(r *judgeRecord) {
	j.number++
	r.number = j.number
}

// step compares the targets of each service; service returns "" for targets
// that are gone. It returns the targets whose verdict changed.
func (j *judge) step(now time.Duration, service func(target string) string) []fleet.TargetState {
	j.mu.Lock()
	defer j.mu.Unlock()
	groups := map[string]map[string]*evidence.Tally{}
	for name, r := range j.records {
		s := service(name)
		if s == "" {
			delete(j.records, name)
			continue
		}
		if groups[s] == nil {
			groups[s] = map[string]*evidence.Tally{}
		}
		groups[s][name] = &r.work
	}
	var list []fleet.TargetState
	for _, tallies := range groups {
		failing := evidence.Outliers(now, tallies, func(name string) bool { return j.records[name].told.Failing })
		for name := range tallies {
			r := j.records[name]
			if failing[name] != r.told.Failing {
				r.told.Failing = failing[name]
				j.changed(r)
				list = append(list, r.told)
			}
		}
	}
	return list
}

// since returns the states that changed after a number.
func (j *judge) since(number uint64) ([]fleet.TargetState, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []fleet.TargetState
	for _, r := range j.records {
		if r.number > number {
			list = append(list, r.told)
		}
	}
	return list, j.number
}
