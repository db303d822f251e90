package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

// Guards against a loss of contact that is not logged, and against logging the usual
// pauses between pulls as one.
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

// Guards against a logged silence that ends with the next periodic check instead of
// with the reply.
func TestContactIsRegainedWithTheReply(t *testing.T) {
	control := newFakeControl(t, func(fleet.PullRequest) fleet.PullReply { return fleet.PullReply{Fresh: true} })
	now := 5 * time.Second
	w := newTestWatch(t, &now, control.address)
	w.lastFresh, w.contact = time.Second, contactLog{lost: true, since: time.Second}
	for _, c := range w.controls {
		w.pull(context.Background(), c)
	}
	if w.contact.lost {
		t.Error("contact still counts as lost after the reply of a control host")
	}
}
