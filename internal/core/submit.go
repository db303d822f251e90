package core

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/replica"
	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
)

const (
	submitPause = 30 * time.Millisecond
	// settleTime is how long a founded group waits for hosts that join before
	// it accepts anything, so that what it accepts is stored by many.
	settleTime = 1500 * time.Millisecond
)

var errNoGroup = errors.New("the agreement group is not running on this host")

// Submit adds a command to the history. It tries until ctx ends; an error
// says nothing about whether the command is accepted later.
func (n *Node) Submit(ctx context.Context, c desired.Command) error {
	n.count("orders.received")
	begun := n.now()
	data, err := c.Encode()
	if err != nil {
		return err
	}
	for {
		err := n.trySubmit(ctx, data)
		if err == nil {
			n.count("orders.acknowledged")
			telemetry.ObserveDuration(n.registry, "orders.acknowledged_ms", n.now()-begun)
			return nil
		}
		select {
		case <-ctx.Done():
			n.count("orders.unacknowledged")
			return errors.Join(ctx.Err(), err)
		case <-time.After(submitPause):
		}
	}
}

func (n *Node) trySubmit(ctx context.Context, data []byte) error {
	g := n.currentGroup()
	if g == nil {
		return errNoGroup
	}
	_, err := n.propose(ctx, g, data)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader.Peer != "" && notLeader.Leader.Peer != n.self.Peer {
		_, err = peer.Call[fleet.Submission, fleet.Accepted](ctx, n.config.Client, notLeader.Leader.Peer, fleet.MethodSubmit, fleet.Submission{Command: data})
	}
	return err
}

// submitFor proposes a command for another control host.
func (n *Node) submitFor(ctx context.Context, _ string, s fleet.Submission) (fleet.Accepted, error) {
	g := n.currentGroup()
	if g == nil {
		return fleet.Accepted{}, errNoGroup
	}
	return n.propose(ctx, g, s.Command)
}

func (n *Node) propose(ctx context.Context, g *replica.Group, data []byte) (fleet.Accepted, error) {
	if n.config.Found && n.now() < settleTime {
		return fleet.Accepted{}, errors.New("the group has just been founded and waits for members")
	}
	_, err := g.Propose(ctx, data)
	return fleet.Accepted{}, err
}

// Current returns the desired state after everything that was accepted before the call.
func (n *Node) Current(ctx context.Context) (desired.State, error) {
	g := n.currentGroup()
	if g == nil {
		return desired.State{}, errNoGroup
	}
	if err := g.Read(ctx); err != nil {
		return desired.State{}, err
	}
	state, _ := n.machine.State()
	return state, nil
}

// SetSeeds replaces the control hosts that are tried even if they were never heard.
func (n *Node) SetSeeds(seeds []string) { n.others.setSeeds(seeds) }
