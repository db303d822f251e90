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
	// freshWithin is the silence of the leader after which a control host
	// no longer speaks for the deployment.
	freshWithin = time.Second
	// forgetTargets is how long a target that fell silent stays in the roster.
	forgetTargets = 30 * time.Second
	sweepInterval = 250 * time.Millisecond
	// overdueBeats is the number of heartbeats after which a target counts as silent.
	overdueBeats = 3.5
)

// Node is a running control host.
type Node struct {
	config  Config
	self    fleet.Control
	epoch   int64 // start of this process
	start   time.Time
	machine *desired.Machine
	targets *roster.Roster
	entries *entryTable
	others  *controlTable
	direct  *directLog
	changed *notifier
	judge   *judge

	inForce atomic.Int64 // when the newest document was applied, 0 if before the start

	registry  metrics.Registry
	inContact bool // as last logged; owned by sweepLoop

	parts sync.WaitGroup // loops and messages on their way

	mu    sync.Mutex
	group *replica.Group // nil while the disk refuses
}

// Start starts all parts of the control host. They end with ctx; Wait tells when.
func Start(ctx context.Context, c Config) *Node {
	n := &Node{
		config: c, self: fleet.Control{Peer: c.Peer, Zone: c.Zone, Region: c.Region, Relay: c.Relay},
		epoch: time.Now().UnixNano(), start: time.Now(),
		targets: roster.New(forgetTargets), entries: newEntryTable(), direct: newDirectLog(), changed: newNotifier(),
		judge: newJudge(), registry: metrics.NewRegistry(),
	}
	n.others = newControlTable(n.self, c.Seeds)
	n.machine = desired.New(n.applied)
	peer.Register(c.Server, fleet.MethodPull, n.pull)
	peer.Register(c.Server, fleet.MethodExchange, n.receive)
	peer.Register(c.Server, fleet.MethodSubmit, n.submitFor)
	n.parts.Go(func() { n.keepGroup(ctx) })
	n.parts.Go(func() { n.exchangeLoop(ctx) })
	n.parts.Go(func() { n.sweepLoop(ctx) })
	return n
}

// Wait returns once all parts have ended and the folder is closed. The context
// of Start has to be over.
func (n *Node) Wait() { n.parts.Wait() }

func (n *Node) now() time.Duration { return time.Since(n.start) }

// applied passes a committed command on to the parts that act on it.
func (n *Node) applied(c desired.Command) {
	switch {
	case c.Departure != nil:
		n.targets.Leave(c.Departure.Name, c.Departure.Life)
		n.config.Log.Info("target leaves", "target", c.Departure.Name, "life", c.Departure.Life)
	case c.Document != nil:
		n.inForce.Store(int64(n.now()))
		n.config.Log.Info("policy in force", "version", c.Document.Version, "bytes", len(c.Document.Body))
	case c.Evacuate != "":
		n.config.Log.Info("availability zone evacuated", "zone", c.Evacuate)
	case c.Readmit != "":
		n.config.Log.Info("availability zone readmitted", "zone", c.Readmit)
	}
	n.changed.notify()
}

func (n *Node) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	overdue := time.Duration(float64(n.config.Heartbeat) * overdueBeats)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		before := n.targets.Revision()
		n.observe(n.now())
		for _, name := range n.targets.MarkSilent(n.now(), overdue) {
			n.config.Log.Warn("target silent", "target", name, "limit", overdue)
		}
		for _, e := range n.entries.changes(n.now()) {
			n.config.Log.Info("entry host "+e.state, "entry", e.name, "zone", e.zone, "silent", e.silent)
		}
		for _, name := range n.targets.Forget(n.now()) {
			n.config.Log.Info("target forgotten", "target", name, "silent", forgetTargets)
		}
		n.judgeTargets()
		if n.targets.Revision() != before {
			n.changed.notify()
		}
	}
}

// judgeTargets looks for targets that fail more than others of their service.
func (n *Node) judgeTargets() {
	changed := n.judge.step(n.now(), func(name string) string {
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

// fresh reports whether this host speaks for the deployment.
func (n *Node) fresh() bool {
	g := n.currentGroup()
	return g != nil && g.InContact(freshWithin)
}

func (n *Node) currentGroup() *replica.Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.group
}
