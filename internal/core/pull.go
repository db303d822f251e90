package core

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// entryCountDelay is how long a control host collects calls of entry hosts after its
// start before it reports their number.
const entryCountDelay = 2 * time.Second

// pull handles the long poll of an entry host. It replies as soon as the entry host
// lacks a document, orders or a target, or contact with the majority changes, and
// after req.Wait at the latest. Without contact it replies at once, since the entry host
// has to turn to another control host.
func (n *Node) pull(ctx context.Context, _ string, req fleet.PullRequest) (fleet.PullReply, error) {
	n.entries.record(n.now(), 0, req.Entry, true)
	n.count("pulls")
	n.targetMonitor.record(n.now(), req.Reports)
	for _, d := range req.Leaving {
		n.ReportLeaving(d.Name, d.Life)
	}
	deadline := time.NewTimer(req.Wait)
	defer deadline.Stop()
	for {
		changed := n.changed.wait()
		reply, urgent := n.buildPullReply(&req)
		if urgent || req.Wait <= 0 || !reply.Fresh {
			return reply, nil
		}
		select {
		case <-ctx.Done():
			return reply, ctx.Err()
		case <-deadline.C:
			reply, _ = n.buildPullReply(&req)
			return reply, nil
		case <-changed:
		}
	}
}

// buildPullReply returns what the entry host lacks, and whether it has to be sent
// at once.
func (n *Node) buildPullReply(req *fleet.PullRequest) (reply fleet.PullReply, urgent bool) {
	now := n.now()
	state, _ := n.machine.State()
	reply = fleet.PullReply{Fresh: n.fresh(), Index: state.OrdersIndex, Epoch: n.epoch}
	if state.Document.Version > req.Version {
		if at := time.Duration(n.documentAppliedAt.Load()); at > 0 {
			reply.DocumentAge = now - at
		}
		reply.Newest = state.Document.Version
		if !req.Fetches {
			reply.Document = &state.Document
		}
		urgent = !req.Fetches || state.Document.Version > req.Known
	}
	if state.OrdersIndex > req.Orders {
		orders := state.OrdersSince(req.Orders)
		reply.Orders = &orders
		urgent = true
	}
	since, states := req.Revision, req.StateNumber
	if req.Epoch != n.epoch {
		since, states = 0, 0
	}
	reply.States, reply.StateNumber = n.targetMonitor.since(states)
	var changed []roster.Target
	changed, reply.Revision = n.targets.Since(since)
	for i := range changed {
		reply.Targets = append(reply.Targets, roster.NewReport(&changed[i], now))
	}
	controls := n.otherControls.known(now)
	if reply.ControlsDigest = controlsDigest(controls); reply.ControlsDigest != req.Controls {
		reply.Controls = controls
	}
	live := n.entries.live(now)
	if now > entryCountDelay {
		reply.EntryCount = len(live)
	}
	for i := range live {
		if live[i].Name < req.Entry.Name {
			reply.Rank++
		}
	}
	return reply, urgent || len(reply.Targets) > 0
}
