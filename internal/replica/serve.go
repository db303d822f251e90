package replica

import (
	"context"
	"fmt"

	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// receive passes a message on to the loop, or drops it if too many wait already.
func (g *Group) receive(m *agree.Message) {
	if !g.queued.Acquire(m.Bytes()) {
		return
	}
	select {
	case g.inbox <- *m:
	default:
		g.queued.Release(m.Bytes())
	}
}

// serve handles a request from another control host.
func (g *Group) serve(ctx context.Context, from string, req wireRequest) (wireReply, error) {
	if g.stopped() {
		return wireReply{}, g.stopCause()
	}
	switch req.Kind {
	case wireMessage:
		if req.Message == nil {
			return wireReply{}, fmt.Errorf("message from %s is empty", from)
		}
		g.receive(req.Message)
		return wireReply{}, nil
	case wireHello:
		g.mu.Lock()
		defer g.mu.Unlock()
		reply := wireReply{Host: g.self.Name, Incarnation: g.self.Incarnation, HasHistory: g.historyExists}
		if g.config.AllowJoin {
			for _, s := range g.status.Members.Servers {
				reply.Members = append(reply.Members, wireMember{Name: s.ID.Name, Peer: s.Peer})
			}
		}
		return reply, nil
	case wireRead:
		index, err := g.localReadIndex(ctx)
		return wireReply{Index: index}, err
	}
	return wireReply{}, fmt.Errorf("message kind %d from %s is unknown", req.Kind, from)
}
