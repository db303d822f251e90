package bytelimit

import "testing"

// Guards against a limit that is exceeded, that never admits a large element, or that
// counts refused elements.
func TestLimit(t *testing.T) {
	l := New(100)
	for i, step := range []struct {
		acquire, release int
		admitted         bool
	}{
		{acquire: 60, admitted: true},
		{acquire: 41},
		{acquire: 40, admitted: true},
		{acquire: 1},
		{release: 100},
		{acquire: 300, admitted: true},
		{acquire: 1},
		{release: 300},
		{acquire: 100, admitted: true},
	} {
		if step.release > 0 {
			l.Release(step.release)
			continue
		}
		if got := l.Acquire(step.acquire); got != step.admitted {
			t.Errorf("step %d: %d bytes are admitted: %v, want %v", i, step.acquire, got, step.admitted)
		}
	}
}
