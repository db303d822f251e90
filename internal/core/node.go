package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/replica"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

const (
	// contactTimeout is the time without contact with the leader after which a
	// control host counts as cut off from the majority.
	contactTimeout = time.Second
	// targetExpiry is how long a silent target stays in the roster.
	targetExpiry  = 30 * time.Second
	sweepInterval = 250 * time.Millisecond
	// silentAfterHeartbeats is the time without an announcement, in heartbeat
	// intervals, after which a target counts as silent.
	silentAfterHeartbeats = 3.5
)

// Node is a running control host. Its exported methods are safe for concurrent use.
type Node struct {
	config        Config
	self          fleet.Control
	epoch         int64 // start of this process, Unix time in nanoseconds
	start         time.Time
	machine       *desired.Machine
	targets       *roster.Roster
	entries       *entryTable
	otherControls *controlTable
	direct        *directLog
	changed       *notifier
	targetMonitor *targetMonitor
	departures    *departureQueue
	documents     documents

	documentAppliedAt atomic.Int64 // when the document in force was applied, in nanoseconds since start; 0 if before start

	registry  metrics.Registry
	inContact bool // as last logged; used only by sweepLoop

	servicesMu sync.Mutex // held by updateServices

	tasks sync.WaitGroup // loops and exchanges in flight

	supervisor *replica.Supervisor // of this host's member of the agreement group
}

// Start registers the peer methods and starts the loops of the control host. They
// end with ctx; Wait waits for that.
func Start(ctx context.Context, c Config) *Node {
	n := &Node{
		config: c, self: fleet.Control{Peer: c.Peer, Zone: c.Zone, Region: c.Region, Relay: c.Relay},
		epoch: time.Now().UnixNano(), start: time.Now(),
		targets: roster.New(targetExpiry), entries: newEntryTable(), direct: newDirectLog(), changed: newNotifier(),
		targetMonitor: newTargetMonitor(), departures: newDepartureQueue(), registry: metrics.NewRegistry(),
	}
	n.otherControls = newControlTable(n.self, c.Seeds)
	n.machine = desired.New(n.onApplied)
	peer.Register(c.Server, fleet.MethodPull, n.pull)
	peer.Register(c.Server, fleet.MethodDocument, n.handleDocument)
	peer.Register(c.Server, fleet.MethodExchange, n.handleExchange)
	peer.Register(c.Server, fleet.MethodSubmit, n.handleSubmit)
	peer.Register(c.Server, fleet.MethodTarget, n.handleTarget)
	n.supervisor = replica.NewSupervisor(n.groupConfig())
	n.tasks.Go(func() { n.supervisor.Run(ctx) })
	n.tasks.Go(func() { n.exchangeLoop(ctx) })
	n.tasks.Go(func() { n.sweepLoop(ctx) })
	n.tasks.Go(func() { n.departureLoop(ctx) })
	n.tasks.Go(func() { n.serviceLoop(ctx) })
	return n
}

// Wait blocks until all loops have ended and the data folder is closed, which
// requires that the context passed to Start is done.
func (n *Node) Wait() { n.tasks.Wait() }

// now returns the monotonic time since the start of the process.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// onApplied acts on a committed command that changed the desired state. It wakes the
// waiting pulls.
func (n *Node) onApplied(c desired.Command) {
	switch {
	case c.Departure != nil:
		n.targets.Leave(c.Departure.Name, c.Departure.Life)
		n.config.Log.Info("target leaves", "target", c.Departure.Name, "life", c.Departure.Life)
	case c.Document != nil:
		n.documentAppliedAt.Store(int64(n.now()))
		n.documents.add(c.Document.Body)
		n.updateServices()
		n.config.Log.Info("policy in force", "version", c.Document.Version, "bytes", len(c.Document.Body))
	case c.Evacuate != "":
		n.config.Log.Info("availability zone evacuated", "zone", c.Evacuate)
	case c.Readmit != "":
		n.config.Log.Info("availability zone readmitted", "zone", c.Readmit)
	}
	n.changed.notify()
}

// sweepLoop regularly updates the metrics, expires silent targets and evaluates the
// reports of entry hosts.
func (n *Node) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	overdue := time.Duration(float64(n.config.Heartbeat) * silentAfterHeartbeats)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		before := n.targets.Revision()
		n.updateMetrics(n.now())
		for _, name := range n.targets.MarkSilent(n.now(), overdue) {
			n.config.Log.Warn("target silent", "target", name, "limit", overdue)
		}
		for _, e := range n.entries.changes(n.now()) {
			n.config.Log.Info("entry host "+e.state, "entry", e.name, "zone", e.zone, "silent", e.silent)
		}
		for _, name := range n.targets.Forget(n.now()) {
			n.config.Log.Info("target forgotten", "target", name, "silent", targetExpiry)
		}
		n.updateVerdicts()
		if n.targets.Revision() != before {
			n.changed.notify()
		}
	}
}

// updateVerdicts detects targets that fail more often than the others of their
// service, and logs each change.
func (n *Node) updateVerdicts() {
	changed := n.targetMonitor.detectOutliers(n.now(), func(name string) string {
		t, _ := n.targets.Find(name)
		return t.Service
	})
	for _, s := range changed {
		n.config.Log.Info("verdict on target", "target", s.Target, "failing", s.Failing, "load_tenths", s.Tenths)
	}
	if len(changed) > 0 {
		n.changed.notify()
	}
}

// fresh reports whether this host is in contact with a majority, so that its view of
// the deployment is current.
func (n *Node) fresh() bool {
	g := n.currentGroup()
	return g != nil && g.InContact(contactTimeout)
}

// currentGroup returns the running group member, or nil if there is none.
func (n *Node) currentGroup() *replica.Group { return n.supervisor.Current() }
