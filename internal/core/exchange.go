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
			go n.tell(ctx, address, told)
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
	message := fleet.Exchange{From: n.self, Entries: n.entries.recent(now, entryNews)}
	for _, name := range n.direct.since(told, now) {
		if t, ok := n.targets.Find(name); ok {
			message.Targets = append(message.Targets, roster.ReportOf(&t, now))
		}
	}
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
}

// receive takes the news of another control host.
func (n *Node) receive(_ context.Context, _ string, m fleet.Exchange) (fleet.ExchangeReply, error) {
	now := n.now()
	n.others.heard(now, m.From)
	changed := false
	for i := range m.Targets {
		changed = n.targets.Note(now, m.Targets[i]) || changed
	}
	for _, e := range m.Entries {
		n.entries.note(now, e.Age, e.Entry, false)
	}
	if changed {
		n.changed.notify()
	}
	return fleet.ExchangeReply{Controls: n.others.known(now)}, nil
}
