package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// newTestWatch returns the watch of an entry host whose clock reads *now.
func newTestWatch(t *testing.T, now *time.Duration, seeds ...string) *watch {
	t.Helper()
	w := newWatchingGateway(t, seeds...).watch
	w.now = func() time.Duration { return *now }
	return w
}

// Guards against an entry host that sets all control hosts aside after they lost
// power together: the first message to each fails with a reset of the old connection,
// although the restarted host works.
func TestPolicyArrivesAfterAllControlHostsLostPower(t *testing.T) {
	var version policy.Version = 1
	var mu sync.Mutex
	reply := func(fleet.PullRequest) fleet.PullReply {
		mu.Lock()
		defer mu.Unlock()
		return fleet.PullReply{Fresh: true, Document: &desired.Document{Version: version, Body: []byte{byte(version)}}}
	}
	var lines []*nettest.PowerLossProxy
	var seeds []string
	for range 3 {
		line := nettest.NewPowerLossProxy(t, newFakeControl(t, reply).address)
		lines, seeds = append(lines, line), append(seeds, line.Address())
	}
	now := time.Second // stands still, so that no backoff ends
	w := newTestWatch(t, &now, seeds...)
	ctx := context.Background()
	// The entry host has pulled from each control host before.
	for _, c := range w.controls {
		c.watched = true
		if !w.pull(ctx, c) {
			t.Fatal("a running control host does not answer")
		}
		w.release(c)
	}
	for _, line := range lines {
		line.PowerCycle()
	}
	mu.Lock()
	version = 2
	mu.Unlock()
	for asked := 0; ; asked++ {
		if got, _ := w.view.versions(); got == 2 {
			return
		}
		c := w.pick(nearest)
		if c == nil {
			t.Fatalf("no control host can be asked after %d failed pulls", asked)
		}
		w.pull(ctx, c)
		w.release(c)
	}
}

// Guards against an entry host that asks no control host while all have failed
// recently, and against one that asks again without a pause.
func TestControlHostsThatAllFailedAreAskedAgain(t *testing.T) {
	now := time.Second
	w := newTestWatch(t, &now, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	for _, c := range w.controls {
		w.backOff(c, unreachableBackoff, "unreachable", nil)
		now += 100 * time.Millisecond
	}
	if c := w.pick(nearest); c != nil {
		t.Fatalf("%s is asked again without a pause", c.control.Peer)
	}
	now += refusedBackoff
	asked := map[string]bool{}
	for range len(w.controls) {
		c := w.pick(nearest)
		if c == nil {
			t.Fatalf("after %s only %d of %d control hosts are asked", now, len(asked), len(w.controls))
		}
		asked[c.control.Peer] = true
	}
	if len(asked) != len(w.controls) {
		t.Errorf("asked %v, want each control host once", asked)
	}
}
