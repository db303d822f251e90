package core

import (
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

// Guards against sending loads that no entry host acts on, which costs traffic for
// each target and entry host, and against loads that are sent too late.
func TestOnlyLoadsThatMatterAreTold(t *testing.T) {
	m := newTargetMonitor()
	number := uint64(0)
	for i, s := range []struct {
		tenths int16
		sent   bool
		value  uint16
	}{{3, false, 0}, {2, false, 0}, {9, true, 9}, {10, false, 9}, {14, true, 14}, {3, true, 0}, {1, false, 0}} {
		now := time.Duration(i+1) * 2 * time.Second // long enough for the average to follow each report
		m.record(now, []fleet.TargetReport{{Target: "t", Tenths: s.tenths}})
		list, next := m.since(number)
		number = next
		if sent := len(list) > 0; sent != s.sent || sent && list[0].Tenths != s.value {
			t.Errorf("load %d tenths: sent %+v, want sent %v with %d", s.tenths, list, s.sent, s.value)
		}
	}
}
