package replica

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// join makes this host a member: by founding the group if no listed member
// has a history, otherwise by asking the leader for admission.
//
// Only the first host of the list founds, and only if every listed member has
// answered that it is empty. A majority would not do: with three members of
// which one was never started, one lost disk would leave a majority of empty
// hosts beside a member with acknowledged entries. A single founder keeps two
// hosts from founding with different incarnations of a third.
func (g *Group) join() {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	reason := "" // last one logged
	for {
		if !g.snapshotStatus().Admitted {
			if err := g.found(); err != nil && err.Error() != reason {
				reason = err.Error()
				g.config.Log.Info("not a member yet", "reason", reason)
			}
			g.askAdmission()
		}
		select {
		case <-g.quit:
			return
		case <-ticker.C:
		}
	}
}

// askAdmission tells all listed members of this incarnation; the leader acts on it.
func (g *Group) askAdmission() {
	for _, m := range g.config.Members {
		if m.Name == g.self.Name {
			continue
		}
		message := &agree.Message{Kind: agree.MsgJoin, From: g.self, To: agree.ID{Name: m.Name}, Peer: g.config.peerOf(g.self.Name)}
		_ = peer.Notify(g.config.Client, m.Peer, method, wireRequest{Kind: wireMessage, Message: message})
	}
}

// found starts the history if all listed members are empty.
func (g *Group) found() error {
	if g.hasHistory() {
		return nil
	}
	founder := slices.MinFunc(g.config.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if founder.Name != g.self.Name {
		return fmt.Errorf("waiting for %s to found the group or for admission", founder.Name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var servers []agree.Server
	for _, m := range g.config.Members {
		id := g.self
		if m.Name != g.self.Name {
			reply, err := g.hello(ctx, m)
			if err != nil {
				return err
			}
			if reply.HasHistory {
				return fmt.Errorf("member %s holds a history, waiting for admission", m.Name)
			}
			id = agree.ID{Name: m.Name, Incarnation: reply.Incarnation}
		}
		servers = append(servers, agree.Server{ID: id, Peer: m.Peer, Voter: true})
	}
	result := make(chan error, 1)
	if err := g.do(ctx, func() { result <- g.node.Found(servers) }); err != nil {
		return err
	}
	return <-result
}

func (g *Group) hasHistory() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun
}

// hello asks a member who it is.
func (g *Group) hello(ctx context.Context, m Member) (wireReply, error) {
	reply, err := peer.Call[wireRequest, wireReply](ctx, g.config.Client, m.Peer, method, wireRequest{Kind: wireHello})
	if err != nil {
		return reply, fmt.Errorf("member %s does not answer: %w", m.Name, err)
	}
	if reply.Host != m.Name {
		return reply, fmt.Errorf("address %s of member %s belongs to host %q", m.Peer, m.Name, reply.Host)
	}
	return reply, nil
}
