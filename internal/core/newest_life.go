package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// lookupTimeout bounds the question to the other control hosts for a target. It leaves
// most of the time that a target waits for its acknowledgement to the commit.
const lookupTimeout = 300 * time.Millisecond

// newestLife returns the newest incarnation of a target that any control host knows. The
// roster of this host may lack it: it is up to an exchange old, or older after a freeze.
// It returns an error unless a majority of the voters has answered.
func (n *Node) newestLife(ctx context.Context, name string) (roster.Life, error) {
	if err := n.askOthers(ctx, name); err != nil {
		return 0, err
	}
	if t, ok := n.targets.Find(name); ok {
		return t.Life, nil
	}
	return roster.Life(time.Now().UnixMilli()), nil // all earlier lives, which entry hosts may still know
}

// askOthers asks the other control hosts for a target and applies their answers to the
// roster. It waits for all of them, since any one may be the only host to which the
// newest incarnation announced itself, but for lookupTimeout at most.
func (n *Node) askOthers(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	voters, others := n.controlPeers()
	answered := make(chan string, len(others))
	for _, address := range others {
		go func() { answered <- n.askFor(ctx, address, name) }()
	}
	votes := 0
	if voters[n.self.Peer] {
		votes++
	}
	for range others {
		if address := <-answered; voters[address] {
			votes++
		}
	}
	if 2*votes <= len(voters) {
		return fmt.Errorf("only %d of %d control hosts say which incarnation of %q they know", votes, len(voters), name)
	}
	return nil
}

// askFor asks one control host for a target and applies its answer to the roster. It
// returns the address of the host if it has answered, an empty string otherwise.
func (n *Node) askFor(ctx context.Context, address, name string) string {
	reply, err := peer.Call[fleet.TargetRequest, fleet.TargetReply](ctx, n.config.Client, address, fleet.MethodTarget, fleet.TargetRequest{Name: name})
	var refused *peer.RemoteError
	if errors.As(err, &refused) {
		return address // a host of an earlier version does not serve the method
	}
	if err != nil {
		return "" // the caller counts the answers
	}
	if reply.Target != nil && n.targets.Apply(n.now(), *reply.Target) {
		n.changed.notify()
	}
	return address
}

// controlPeers returns the voters of the group and all other control hosts that are
// members of it or known from exchanges, by their peer addresses.
func (n *Node) controlPeers() (voters map[string]bool, others []string) {
	voters = map[string]bool{}
	hosts := map[string]bool{}
	for _, c := range n.otherControls.known(n.now()) {
		hosts[c.Peer] = true
	}
	if g := n.currentGroup(); g != nil {
		for _, m := range g.Status().Members {
			hosts[m.Peer] = true
			if m.Voter {
				voters[m.Peer] = true
			}
		}
	}
	delete(hosts, n.self.Peer)
	for address := range hosts {
		others = append(others, address)
	}
	return voters, others
}

// handleTarget returns what this host knows of a target.
func (n *Node) handleTarget(_ context.Context, _ string, req fleet.TargetRequest) (fleet.TargetReply, error) {
	t, ok := n.targets.Find(req.Name)
	if !ok {
		return fleet.TargetReply{}, nil
	}
	report := roster.NewReport(&t, n.now())
	return fleet.TargetReply{Target: &report}, nil
}
