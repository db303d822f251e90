package core

import (
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

// Guards against news of loads that no entry host acts on, which cost each of
// them bytes for every target, and against loads that are told too late.
func TestOnlyLoadsThatMatterAreTold(t *testing.T) {
	j := newJudge()
	number := uint64(0)
	for i, s := range []struct {
		tenths int16
		told   bool
		value  uint16
	}{{3, false, 0}, {2, false, 0}, {9, true, 9}, {10, false, 9}, {14, true, 14}, {3, true, 0}, {1, false, 0}} {
		now := time.Duration(i+1) * 2 * time.Second // the average follows at once
		j.note(now, []fleet.TargetReport{{Target: "t", Tenths: s.tenths}})
		list, next := j.since(number)
		number = next
		if told := len(list) > 0; told != s.told || told && list[0].Tenths != s.value {
			t.Errorf("load %d tenths: told %+v, want told %v with %d", s.tenths, list, s.told, s.value)
		}
	}
}
