package core

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/replica"
)

// Metrics returns the registry of the control host's metrics.
func (n *Node) Metrics() metrics.Registry { return n.registry }

func (n *Node) count(name string) { metrics.GetOrRegisterCounter(name, n.registry).Inc(1) }

func (n *Node) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, n.registry).Update(value)
}

// updateMetrics updates the gauges, and logs when contact with the majority is lost
// or regained.
func (n *Node) updateMetrics(now time.Duration) {
	state, _ := n.machine.State()
	fresh := n.fresh()
	n.gauge("policy.version", int64(state.Document.Version))
	n.gauge("orders.evacuated_zones", int64(len(state.Orders.Evacuated)))
	n.gauge("orders.departures", int64(len(state.Orders.Departures)))
	n.gauge("targets.known", int64(len(n.targets.All())))
	counts := n.targets.Counts()
	n.gauge("targets.unnamed_service", int64(counts.Unnamed))
	n.gauge("targets.superseded", int64(counts.Superseded))
	n.gauge("fleet.entry_hosts", int64(len(n.entries.live(now))))
	n.gauge("fleet.control_hosts", int64(len(n.otherControls.known(now))))
	if g := n.currentGroup(); g != nil {
		s := g.Status()
		n.gauge("agreement.term", int64(s.Term))
		n.gauge("agreement.commit", int64(s.Commit))
		n.gauge("agreement.applied", int64(s.Applied))
		n.gauge("agreement.members", int64(len(s.Members)))
		n.gauge("agreement.voters", int64(voters(s.Members)))
		n.gauge("agreement.leads", boolValue(s.IsLeader))
		c := g.Counts()
		n.gauge("agreement.elections", int64(c.Elections))
		n.gauge("agreement.became_leader", int64(c.ElectionsWon))
		n.gauge("agreement.entries_written", int64(c.Entries))
		n.gauge("agreement.syncs", int64(c.Syncs))
		n.gauge("agreement.sync_ms_total", c.SyncTime.Milliseconds())
		n.gauge("agreement.inbox", int64(c.Inbox))
	}
	n.gauge("agreement.in_contact", boolValue(fresh))
	n.gauge("peers.queued", int64(n.config.Client.Queued()))
	if fresh != n.inContact {
		n.inContact = fresh
		if fresh {
			n.config.Log.Info("contact with the majority regained")
		} else {
			n.config.Log.Warn("contact with the majority lost", "limit", contactTimeout)
		}
	}
}

// voters returns the number of voting members. A number that stays below the number
// of members means that a host which lost its disk fails to rejoin the group.
func voters(members []replica.MemberStatus) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
