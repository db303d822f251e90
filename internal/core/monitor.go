package core

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

const (
	// loadStep is the smallest change of an average load, in tenths of a request per
	// slot, that is sent to entry hosts.
	loadStep = 2
	// idleLoad is the average load, in tenths, below which 0 is sent: entry hosts
	// make no decision on loads this low.
	idleLoad = 4
)

// targetRecord holds the reports on one target from all entry hosts.
type targetRecord struct {
	load      affinity.LoadAverage
	work      evidence.Tally
	published fleet.TargetState
	revision  uint64 // of the last change to published
}

// targetMonitor combines the reports of all entry hosts on each target: it averages
// the load and finds outliers. A single entry host sends a target too few requests
// to detect a failing one quickly. It is safe for concurrent use.
type targetMonitor struct {
	mu       sync.Mutex
	revision uint64
	records  map[string]*targetRecord
}

func newTargetMonitor() *targetMonitor { return &targetMonitor{records: map[string]*targetRecord{}} }

// record adds the reports of an entry host.
func (m *targetMonitor) record(now time.Duration, reports []fleet.TargetReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, report := range reports {
		r, ok := m.records[report.Target]
		if !ok {
			r = &targetRecord{published: fleet.TargetState{Target: report.Target}}
			m.records[report.Target] = r
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
		if value >= r.published.Tenths+loadStep || value+loadStep <= r.published.Tenths {
			r.published.Tenths = value
			m.markChanged(r)
		}
	}
}

// markChanged gives the record the next revision. The caller holds mu.
func (m *targetMonitor) markChanged(r *targetRecord) {
	m.revision++
	r.revision = m.revision
}

// detectOutliers compares the targets of each service and returns those that became
// or ceased to be failing. service returns the service of a target, or "" for a
// target that is gone, whose record is then removed.
func (m *targetMonitor) detectOutliers(now time.Duration, service func(target string) string) []fleet.TargetState {
	m.mu.Lock()
	defer m.mu.Unlock()
	groups := map[string]map[string]*evidence.Tally{}
	for name, r := range m.records {
		s := service(name)
		if s == "" {
			delete(m.records, name)
			continue
		}
		if groups[s] == nil {
			groups[s] = map[string]*evidence.Tally{}
		}
		groups[s][name] = &r.work
	}
	var list []fleet.TargetState
	for _, tallies := range groups {
		failing := evidence.Outliers(now, tallies, func(name string) bool { return m.records[name].published.Failing })
		for name := range tallies {
			r := m.records[name]
			if failing[name] != r.published.Failing {
				r.published.Failing = failing[name]
				m.markChanged(r)
				list = append(list, r.published)
			}
		}
	}
	return list
}

// since returns the states that changed after a revision, and the current revision.
func (m *targetMonitor) since(revision uint64) ([]fleet.TargetState, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []fleet.TargetState
	for _, r := range m.records {
		if r.revision > revision {
			list = append(list, r.published)
		}
	}
	return list, m.revision
}
