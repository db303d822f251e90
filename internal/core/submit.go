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
	submitRetryDelay = 30 * time.Millisecond
	// foundingDelay is how long a newly founded group waits for other hosts to join
	// before it accepts commands, so that the first ones are already replicated.
	foundingDelay = 1500 * time.Millisecond
	// foundingLimit is how long it waits at most until its members survive the
	// tolerated losses. A deployment may have fewer control hosts than that takes.
	foundingLimit = 4 * time.Second
)

// refusedError reports that a command was committed without effect. It is not submitted
// again.
type refusedError struct{ reason string }

func (e *refusedError) Error() string { return "the order has no effect: " + e.reason }

// refusedCode identifies a refusedError of another control host.
const refusedCode = "refused"

// Code identifies the error to other control hosts.
func (e *refusedError) Code() string { return refusedCode }

// isRefused reports whether the command was committed without effect.
func isRefused(err error) bool {
	var refused *refusedError
	var remote *peer.RemoteError
	return errors.As(err, &refused) || errors.As(err, &remote) && remote.Code == refusedCode
}

var errNoGroup = errors.New("the agreement group is not running on this host")

// Submit commits a command to the replication log and retries until ctx ends or the
// command turns out to have no effect. After another error it may still be committed.
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
		if isRefused(err) {
			n.count("orders.refused")
			return err
		}
		select {
		case <-ctx.Done():
			n.count("orders.unacknowledged")
			return errors.Join(ctx.Err(), err)
		case <-time.After(submitRetryDelay):
		}
	}
}

// trySubmit proposes an encoded command once, on this host or through the leader.
func (n *Node) trySubmit(ctx context.Context, data []byte) error {
	g := n.currentGroup()
	if g == nil {
		return errNoGroup
	}
	_, err := n.propose(ctx, g, data)
	var notLeader *replica.NotLeaderError
	if errors.As(err, &notLeader) && notLeader.Leader.Peer != "" && notLeader.Leader.Peer != n.self.Peer {
		_, err = peer.Call[fleet.Submission, fleet.SubmitReply](ctx, n.config.Client, notLeader.Leader.Peer, fleet.MethodSubmit, fleet.Submission{Command: data})
	}
	return err
}

// handleSubmit proposes a command that another control host forwarded.
func (n *Node) handleSubmit(ctx context.Context, _ string, s fleet.Submission) (fleet.SubmitReply, error) {
	g := n.currentGroup()
	if g == nil {
		return fleet.SubmitReply{}, errNoGroup
	}
	return n.propose(ctx, g, s.Command)
}

func (n *Node) propose(ctx context.Context, g *replica.Group, data []byte) (fleet.SubmitReply, error) {
	if n.config.Founding && awaitsMembers(n.now(), g.Status().SurvivedLosses, n.config.ToleratedLosses) {
		return fleet.SubmitReply{}, errors.New("the group has just been founded and waits for members")
	}
	refusal, err := g.Propose(ctx, data)
	if err == nil && refusal != nil {
		err = &refusedError{reason: string(refusal)}
	}
	return fleet.SubmitReply{}, err
}

// awaitsMembers reports whether a group that was founded now ago and survives the given
// number of lost disks waits for more members before it accepts commands.
func awaitsMembers(now time.Duration, survived, tolerated int) bool {
	return now < foundingDelay || survived < tolerated && now < foundingLimit
}

// Current returns a desired state that includes every command committed before the
// call.
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

// SetSeeds replaces the peer addresses of control hosts that are contacted even
// before any message from them arrived.
func (n *Node) SetSeeds(seeds []string) { n.otherControls.setSeeds(seeds) }
