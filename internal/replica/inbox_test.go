package replica

import (
	"testing"

	"github.com/hornbeamstack/hornbeamstack/internal/bytelimit"
	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// Guards against a host whose disk stands still and whose memory is filled by few large
// messages that wait for its loop.
func TestWaitingBytesAreLimited(t *testing.T) {
	g := &Group{inbox: make(chan agree.Message, inboxLength), queued: bytelimit.New(inboxBytes)}
	large := agree.Message{Entries: []agree.Entry{{Command: make([]byte, inboxBytes/4)}}}
	for range 8 {
		g.receive(&large)
	}
	if got := len(g.inbox); got != 3 {
		t.Errorf("%d messages of a quarter of the limit and their overhead wait, want 3", got)
	}
	heartbeat := agree.Message{Kind: agree.MsgAppend}
	g.receive(&heartbeat)
	if got := len(g.inbox); got != 4 {
		t.Errorf("%d messages wait after a heartbeat, want 4", got)
	}
}
