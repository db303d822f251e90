package core

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

const (
	// departureInterval is the interval at which reported departures are submitted.
	departureInterval = 100 * time.Millisecond
	// departureTimeout bounds one submission of a reported departure.
	departureTimeout = time.Second
	// maxReportedDepartures limits the departures that wait to be submitted. Targets
	// repeat them in each answer.
	maxReportedDepartures = 1024
)

// departureQueue holds departures that targets told in their answers and that are not
// committed yet. It is safe for concurrent use.
type departureQueue struct {
	mu      sync.Mutex
	pending map[string]roster.Life
}

func newDepartureQueue() *departureQueue {
	return &departureQueue{pending: map[string]roster.Life{}}
}

// add queues a departure unless the queue is full.
func (q *departureQueue) add(name string, life roster.Life) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if held, ok := q.pending[name]; ok || len(q.pending) < maxReportedDepartures {
		q.pending[name] = max(held, life)
	}
}

// list returns the queued departures.
func (q *departureQueue) list() map[string]roster.Life {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.pending)
}

// done removes a departure that is committed, unless a later life was queued meanwhile.
func (q *departureQueue) done(name string, life roster.Life) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[name] == life {
		delete(q.pending, name)
	}
}

// ReportLeaving records that a target said in an answer that it is about to exit. This
// host uses it no more at once, and the others once the departure is committed.
func (n *Node) ReportLeaving(name string, life roster.Life) {
	d := desired.Departure{Name: name, Life: life}
	if state, _ := n.machine.State(); state.HasDeparture(d) {
		return
	}
	n.departures.add(name, life)
	if t, ok := n.targets.Find(name); ok && t.Life <= life && !t.Leaving {
		n.count("targets.leaving_by_answer")
		n.config.Log.Info("target leaves, as its answers say", "target", name, "life", life)
		n.targets.Leave(name, life)
		n.changed.notify()
	}
}

// departureLoop submits reported departures until ctx ends. One that fails stays queued.
func (n *Node) departureLoop(ctx context.Context) {
	ticker := time.NewTicker(departureInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for name, life := range n.departures.list() {
			if n.submitReported(ctx, desired.Departure{Name: name, Life: life}) {
				n.departures.done(name, life)
			}
		}
	}
}

// submitReported submits one reported departure and reports whether it is committed.
func (n *Node) submitReported(ctx context.Context, d desired.Departure) bool {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	if err := n.submitDeparture(ctx, d); err != nil {
		n.config.Log.Warn("reported departure not committed yet", "target", d.Name, "life", d.Life, "err", err)
		return false
	}
	return true
}
