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
	// entryNews is how far back an exchange repeats which entry hosts called.
	entryNews = 2 * exchangeInterval
)

// exchangeLoop tells the other control hosts what this host heard itself.
func (n *Node) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		for address, told := range n.others.begin() {
			n.parts.Go(func() { n.tell(ctx, address, told) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) tell(ctx context.Context, address string, told time.Duration) {
	now := n.now()
	message := n.newsSince(told, now)
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := peer.Call[fleet.Exchange, fleet.ExchangeReply](ctx, n.config.Client, address, fleet.MethodExchange, message)
	n.others.end(address, now, err == nil)
	if err != nil {
		return // repeated with the next exchange; the agreement logs lost members
	}
	for _, c := range reply.Controls {
		n.others.learn(n.now(), c)
	}
	for _, name := range reply.Unknown {
		n.direct.refresh(name, n.now())
	}
	for _, name := range reply.UnknownEntries {
		n.entries.refresh(n.now(), name)
	}
}

// newsSince is what this host heard itself after a time.
func (n *Node) newsSince(told, now time.Duration) fleet.Exchange {
	message := fleet.Exchange{From: n.self}
	message.Entries, message.Alive = n.entries.since(told, now)
	news, beats := n.direct.since(told, now)
	for _, name := range news {
		if t, ok := n.targets.Find(name); ok {
			message.Targets = append(message.Targets, roster.NewReport(&t, now))
		}
	}
	for _, name := range beats {
		if t, ok := n.targets.Find(name); ok {
			message.Beats = append(message.Beats, roster.NewHeartbeat(&t, now))
		}
	}
	return message
}

// receive takes the news of another control host.
func (n *Node) receive(_ context.Context, _ string, m fleet.Exchange) (fleet.ExchangeReply, error) {
	now := n.now()
	n.others.heard(now, m.From)
	changed := false
	for i := range m.Targets {
		changed = n.targets.Apply(now, m.Targets[i]) || changed
	}
	reply := fleet.ExchangeReply{}
	for _, b := range m.Beats {
		news, known := n.targets.ApplyHeartbeat(now, b)
		changed = news || changed
		if !known {
			reply.Unknown = append(reply.Unknown, b.Name)
		}
	}
	for _, e := range m.Entries {
		n.entries.note(now, e.Age, e.Entry, false)
	}
	for _, a := range m.Alive {
		if !n.entries.alive(now, a) {
			reply.UnknownEntries = append(reply.UnknownEntries, a.Name)
		}
	}
	if changed {
		n.changed.notify()
	}
	reply.Controls = n.others.known(now)
	return reply, nil
}
