package gateway

import (
	"testing"
	"time"
)

// Guards against an entry host without news whose log does not say so, or says
// it for the pauses between pulls.
func TestContactLog(t *testing.T) {
	var c contactLog
	for i, step := range []struct {
		now, last time.Duration
		changed   bool
		silent    time.Duration
	}{
		{time.Second, 900 * time.Millisecond, false, 0},
		{2 * time.Second, time.Second, false, 0},
		{3 * time.Second, time.Second, true, 2 * time.Second},
		{4 * time.Second, time.Second, false, 0},
		{5 * time.Second, 4900 * time.Millisecond, true, 3900 * time.Millisecond},
		{6 * time.Second, 5900 * time.Millisecond, false, 0},
	} {
		if changed, silent := c.check(step.now, step.last); changed != step.changed || silent != step.silent {
			t.Errorf("step %d: changed %v after %s of silence, want %v after %s", i, changed, silent, step.changed, step.silent)
		}
	}
}
