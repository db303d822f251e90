package core

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// entriesSettle is how long a control host that has started listens before it
// says how many entry hosts there are.
const entriesSettle = 2 * time.Second

// pull answers an entry host as soon as there is something that it lacks.
func (n *Node) pull(ctx context.Context, _ string, req fleet.PullRequest) (fleet.PullReply, error) {
	n.entries.note(n.now(), 0, req.Entry, true)
	n.count("pulls")
	n.judge.note(n.now(), req.Reports)
	deadline := time.NewTimer(req.Wait)
	defer deadline.Stop()
	fresh := n.fresh()
	for {
		changed := n.changed.wait()
		reply, news := n.replyTo(&req)
		if news || req.Wait <= 0 || fresh != reply.Fresh {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return reply, ctx.Err()
		case <-deadline.C:
			reply, _ = n.replyTo(&req)
			return reply, nil
		case <-changed:
		}
	}
}

// replyTo returns what the entry host lacks, and whether that is worth an answer at once.
func (n *Node) replyTo(req *fleet.PullRequest) (reply fleet.PullReply, news bool) {
	now := n.now()
	state, _ := n.machine.State()
	reply = fleet.PullReply{Fresh: n.fresh(), Index: state.OrdersIndex, Epoch: n.epoch}
	if state.Document.Version > req.Version {
		reply.Document = &state.Document
		if at := time.Duration(n.inForce.Load()); at > 0 {
			reply.DocumentAge = now - at
		}
		news = true
	}
	if state.OrdersIndex > req.Orders {
		orders := state.OrdersSince(req.Orders)
		reply.Orders = &orders
		news = true
	}
	since, states := req.Revision, req.StateNumber
	if req.Epoch != n.epoch {
		since, states = 0, 0
	}
	reply.States, reply.StateNumber = n.judge.since(states)
	var changed []roster.Target
	changed, reply.Revision = n.targets.Since(since)
	for i := range changed {
		reply.Targets = append(reply.Targets, roster.ReportOf(&changed[i], now))
	}
	controls := n.others.known(now)
	if reply.ControlsDigest = digest(controls); reply.ControlsDigest != req.Controls {
		reply.Controls = controls
	}
	live := n.entries.live(now)
	if now > entriesSettle {
		reply.EntryCount = len(live)
	}
	for i := range live {
		if live[i].Name < req.Entry.Name {
			reply.Rank++
		}
	}
	return reply, news || len(reply.Targets) > 0
}
