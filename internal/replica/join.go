package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// join makes this host a member: it bootstraps the group if no listed member
// holds entries, otherwise it asks the leader for admission.
//
// Only the listed member with the smallest name bootstraps, and only if every
// listed member has answered that it is empty. A majority of answers is not
// enough: with three members of which one was never started, one lost disk would
// leave a majority of empty hosts and one member with acknowledged entries. With
// a single bootstrapping host, two hosts cannot bootstrap with different
// incarnations of a third.
func (g *Group) join() {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	reason := "" // last reason logged
	for {
		if g.needsAdmission() {
			if err := g.bootstrap(); err != nil && err.Error() != reason {
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

// needsAdmission reports whether this host is possibly not a member. A host that
// was removed while it was unreachable still holds a membership that names it, but
// hears no leader.
func (g *Group) needsAdmission() bool {
	s := g.nodeStatus()
	if !s.Admitted {
		return true
	}
	return g.config.AllowJoin && s.Role != agree.Leader && g.now()-s.HeardLeader > silenceBeforeJoin
}

// otherHosts returns the known hosts of the group except this one. It adds current
// members to the contacts.
func (g *Group) otherHosts() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.status.Members.Servers {
		g.contacts[s.ID.Name] = s.Peer
	}
	var members []Member
	for name, addr := range g.contacts {
		if name != g.self.Name && addr != "" {
			members = append(members, Member{Name: name, Peer: addr})
		}
	}
	return members
}

// addressOf returns the address of a host, "" if it is unknown. The contacts are
// needed too: a host that has lost its disk knows no members yet, and its leader
// may be one that its settings do not list.
func (g *Group) addressOf(name string, members agree.Membership) string {
	if addr := g.config.peerAddress(name); addr != "" {
		return addr
	}
	if s, ok := members.Find(name); ok && s.Peer != "" {
		return s.Peer
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.contacts[name]
}

// askAdmission sends a request for admission with this host's incarnation to all
// known hosts; the leader among them handles it.
func (g *Group) askAdmission() {
	for _, m := range g.otherHosts() {
		message := &agree.Message{Kind: agree.MsgJoin, From: g.self, To: agree.ID{Name: m.Name}, Peer: g.config.peerAddress(g.self.Name)}
		_ = peer.Notify(g.config.Client, m.Peer, method, wireRequest{Kind: wireMessage, Message: message})
	}
}

// bootstrap starts the log if this host is the one to do so and all listed members
// are empty. The error says what it waits for.
func (g *Group) bootstrap() error {
	if g.hasHistory() {
		return nil
	}
	if g.config.NoBootstrap {
		return errors.New("waiting for admission: this host may not bootstrap a group")
	}
	founder := slices.MinFunc(g.config.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	if founder.Name != g.self.Name {
		return fmt.Errorf("waiting for %s to bootstrap the group or for admission", founder.Name)
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
				return fmt.Errorf("member %s already holds log entries or a snapshot, waiting for admission", m.Name)
			}
			id = agree.ID{Name: m.Name, Incarnation: reply.Incarnation}
		}
		servers = append(servers, agree.Server{ID: id, Peer: m.Peer, Voter: true})
	}
	result := make(chan error, 1)
	if err := g.runInLoop(ctx, func() { result <- g.node.Bootstrap(servers) }); err != nil {
		return err
	}
	return <-result
}

// hasHistory reports whether this host holds entries or a snapshot.
func (g *Group) hasHistory() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.historyExists
}

// hello asks a member for its name and incarnation, and takes over the addresses
// of hosts that only the member knows.
func (g *Group) hello(ctx context.Context, m Member) (wireReply, error) {
	reply, err := peer.Call[wireRequest, wireReply](ctx, g.config.Client, m.Peer, method, wireRequest{Kind: wireHello})
	if err != nil {
		return reply, fmt.Errorf("member %s does not answer: %w", m.Name, err)
	}
	if reply.Host != m.Name {
		return reply, fmt.Errorf("address %s of member %s belongs to host %q", m.Peer, m.Name, reply.Host)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range reply.Members {
		if _, known := g.contacts[other.Name]; !known {
			g.contacts[other.Name] = other.Peer
		}
	}
	return reply, nil
}
