package gateway

import (
	"sync"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// maxReportedDepartures limits the departures that this host reports. Targets repeat
// them in each answer.
const maxReportedDepartures = 1024

// departures holds the departures that targets told in their answers to this host,
// until the orders of the control hosts contain them. It is safe for concurrent use.
type departures struct {
	mu   sync.Mutex
	held map[string]roster.Life
}

func newDepartures() *departures { return &departures{held: map[string]roster.Life{}} }

// add records a departure and reports whether it is new.
func (l *departures) add(name string, life roster.Life) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, ok := l.held[name]
	if ok && held >= life || !ok && len(l.held) >= maxReportedDepartures {
		return false
	}
	l.held[name] = life
	return true
}

// list returns the departures that are not confirmed yet.
func (l *departures) list() []desired.Departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]desired.Departure, 0, len(l.held))
	for name, life := range l.held {
		list = append(list, desired.Departure{Name: name, Life: life})
	}
	return list
}

// confirm removes the departures that the orders contain.
func (l *departures) confirm(ordered []desired.Departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range ordered {
		if life, ok := l.held[d.Name]; ok && life <= d.Life {
			delete(l.held, d.Name)
		}
	}
}

// targetLeaves records that an incarnation of a target said that it is about to exit. This
// host sends it nothing more until its next incarnation, and tells the control hosts.
func (g *Gateway) targetLeaves(name string, life roster.Life, source way) {
	if held, ok := g.view.targets.Find(name); !ok || held.Life > life || held.Leaving {
		return
	}
	g.view.targets.Leave(name, life)
	if g.departures.add(name, life) {
		g.meters.count("targets.leaving_by_answer")
		g.log.Info("target leaves, as its answers say", "target", name, "life", life, "via", source)
	}
}
