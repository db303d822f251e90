package core

import (
	"testing"
	"time"
)

// Guards against a new deployment that acknowledges an order while it has so few voters
// that the lost disks which it has to tolerate leave no majority, and against one that
// never acknowledges since it has few control hosts (review case 6).
func TestFoundingAwaitsEnoughMembers(t *testing.T) {
	cases := []struct {
		name                string
		now                 time.Duration
		survived, tolerated int
		waits               bool
	}{
		{"just started", time.Second, 4, 2, true},
		{"enough voters", foundingDelay, 2, 2, false},
		{"nothing stated", foundingDelay, 1, 0, false},
		{"too few voters", foundingDelay, 1, 2, true},
		{"no more hosts come", foundingLimit, 1, 2, false},
	}
	for _, x := range cases {
		if got := awaitsMembers(x.now, x.survived, x.tolerated); got != x.waits {
			t.Errorf("%s: waits %v, want %v", x.name, got, x.waits)
		}
	}
}
