package gateway

import (
	"github.com/hornbeamstack/hornbeamstack/pkg/affinity"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// homes is the number of targets at the head of an object's order that usually
// serve it and so have it in their caches.
const homes = 2

// probeDivisor sets the share of requests that may go to a failing target, one in
// probeDivisor, so that its recovery is noticed.
const probeDivisor = 12

// isProbe reports whether a request may go to a target that is reported as
// failing. The choice depends on the request's id alone.
func (g *Gateway) isProbe(id string) bool { return affinity.Object("try", id)%probeDivisor == 0 }

// choose returns the target for the next attempt of a request: the first in the
// order of its object that was not tried yet, has asked for no pause and has the best
// verdict. It returns false if there is none.
func (g *Gateway) choose(d *delivery) (roster.Target, *evidence.Target, bool) {
	now := g.now()
	d.shortestPause = 0
	table := g.view.table(now, d.service)
	if table == nil {
		return roster.Target{}, nil, false
	}
	key := d.exchange.call.Object
	if key == "" || !d.exchange.route.Sticky {
		key = d.exchange.call.ID
	}
	object := affinity.Object(d.service+d.exchange.route.Prefix, key)
	order := table.Order(affinity.Location{Zone: g.config.Zone, Region: g.config.Region}, object,
		d.exchange.route.Kind == policy.Download, d.exchange.route.Allows)
	// The balance and the states that all hosts report move an object only between
	// its homes and within one region: otherwise all callers of a busy region would
	// be sent to another region at once.
	oneRegion := len(order) >= homes && order[0].Region == order[1].Region
	if oneRegion && g.balance.IsMoved(object, order[0].Name, order[1].Name) {
		order[0], order[1] = order[1], order[0]
	}
	var best roster.Target
	var bestEvidence *evidence.Target
	verdict := evidence.Down + 1
	for i, candidate := range order {
		if d.tried[candidate.Name] {
			continue
		}
		if i >= homes && verdict < evidence.Doubtful {
			break // queueing at a target with a warm cache takes less time than work on a cold one
		}
		t, ok := g.view.targets.Find(candidate.Name)
		if !ok {
			continue
		}
		if t.Cold(now) && !g.cold.allowed(now, &t, d.exchange.policy) {
			continue
		}
		k := evidence.Key{Name: t.Name, Life: int64(t.Life)}
		if left := g.pauses.Left(now, k); left > 0 {
			d.notePause(left)
			continue
		}
		e := g.evidenceStore.For(k)
		v := e.Verdict(now)
		if oneRegion && g.reports.failing(t.Name) && !g.isProbe(d.exchange.call.ID) {
			v = max(v, evidence.Outlier)
		}
		if v < verdict {
			best, bestEvidence, verdict = t, e, v
			if v == evidence.Good {
				break
			}
		}
	}
	if bestEvidence != nil && best.Cold(now) {
		g.cold.sent(now, best.Name)
	}
	return best, bestEvidence, bestEvidence != nil
}
