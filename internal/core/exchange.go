package core

import (
	"context"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

const (
	exchangeInterval = 300 * time.Millisecond
	exchangeTimeout  = 1200 * time.Millisecond
	// entryRepeatWindow is how recent a call of an entry host has to be for an
	// exchange to report it.
	entryRepeatWindow = 2 * exchangeInterval
)

// exchangeLoop regularly sends the other control hosts what targets and entry hosts
// reported to this host directly.
func (n *Node) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		for address, sentUpTo := range n.otherControls.startExchanges() {
			n.tasks.Go(func() { n.sendExchange(ctx, address, sentUpTo) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendExchange sends one control host the changes after sentUpTo and applies its
// reply.
func (n *Node) sendExchange(ctx context.Context, address string, sentUpTo time.Duration) {
	now := n.now()
	message := n.exchangeSince(sentUpTo, now)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := peer.Call[fleet.Exchange, fleet.ExchangeReply](ctx, n.config.Client, address, fleet.MethodExchange, message)
	n.otherControls.finishExchange(address, now, err == nil)
	if err != nil {
		return // the next exchange repeats the changes; the agreement group logs unreachable members
	}
	for _, c := range reply.Controls {
		n.otherControls.learn(n.now(), c)
	}
	for _, name := range reply.Unknown {
		n.direct.refresh(name, n.now())
	}
	for _, name := range reply.UnknownEntries {
		n.entries.refresh(n.now(), name)
	}
}

// exchangeSince returns the message with what targets and entry hosts reported to
// this host directly later than after.
func (n *Node) exchangeSince(after, now time.Duration) fleet.Exchange {
	message := fleet.Exchange{From: n.self, Controls: controlsDigest(n.otherControls.known(now))}
	message.Entries, message.Alive = n.entries.since(after, now)
	updated, heartbeats := n.direct.since(after, now)
	for _, name := range updated {
		if t, ok := n.targets.Find(name); ok {
			message.Targets = append(message.Targets, roster.NewReport(&t, now))
		}
	}
	for _, name := range heartbeats {
		if t, ok := n.targets.Find(name); ok {
			message.Beats = append(message.Beats, roster.NewHeartbeat(&t, now))
		}
	}
	return message
}

// handleExchange applies an exchange of another control host. The reply lists the
// known control hosts, unless the sender knows the same, and the names that the sender
// has to send in full.
func (n *Node) handleExchange(_ context.Context, _ string, m fleet.Exchange) (fleet.ExchangeReply, error) {
	now := n.now()
	n.otherControls.heard(now, m.From)
	changed := false
	for i := range m.Targets {
		changed = n.targets.Apply(now, m.Targets[i]) || changed
	}
	reply := fleet.ExchangeReply{}
	for _, b := range m.Beats {
		updated, known := n.targets.ApplyHeartbeat(now, b)
		changed = updated || changed
		if !known {
			reply.Unknown = append(reply.Unknown, b.Name)
		}
	}
	for _, e := range m.Entries {
		n.entries.record(now, e.Age, e.Entry, false)
	}
	for _, a := range m.Alive {
		if !n.entries.recordHeartbeat(now, a) {
			reply.UnknownEntries = append(reply.UnknownEntries, a.Name)
		}
	}
	if changed {
		n.changed.notify()
	}
	if known := n.otherControls.known(now); controlsDigest(known) != m.Controls {
		reply.Controls = known
	}
	return reply, nil
}
