package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/wait"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

const (
	// watchers is the number of control hosts that are watched concurrently, so that
	// the loss of one delays no updates.
	watchers = 2
	// pullWait is how long a control host holds a pull before it answers without changes.
	pullWait = 400 * time.Millisecond
	// pullTimeout bounds a pull, after which the control host is set aside. A slow
	// link delays answers by more than a second.
	pullTimeout = 2 * time.Second
	// unreachableBackoff is how long a control host that did not answer is set aside.
	// refusedBackoff applies to one that refused the connection, and to the first
	// answer that it is not in contact with a majority; it doubles with each further
	// one up to unreachableBackoff. It is also the shortest time after a failure
	// before any control host is asked again.
	unreachableBackoff = 3 * time.Second
	refusedBackoff     = 400 * time.Millisecond
	maxDoublings       = 8                      // of refusedBackoff, far over unreachableBackoff
	idlePause          = 100 * time.Millisecond // while no control host may be asked
)

// controlState is the state of one control host as the watch knows it.
type controlState struct {
	control        fleet.Control
	epoch          int64         // start of the control host that answered last
	revision       uint64        // of the targets in the last reply
	watched        bool          // a watcher is pulling from it
	states         uint64        // revision of the target states in the last reply
	lastAnswer     time.Duration // last reply while in contact with a majority, 0 if there was none
	backoffUntil   time.Duration // set aside until then, unless all others are too
	lastFailure    time.Duration // last failure, 0 if there was none
	withoutContact int           // answers since the last one in contact with a majority
	// fetchBackoffUntil is when documents are fetched from the control host again.
	fetchBackoffUntil time.Duration
	newest            policy.Version // newest version that the control host offered
}

// watch keeps the view up to date with pulls from a few control hosts.
type watch struct {
	config  *Config
	view    *view
	now     func() time.Duration
	self    func() fleet.Entry
	reports *reports
	meters  *meters
	// departures are reported to the control hosts until their orders contain them.
	departures *departures

	mu          sync.Mutex
	controls    map[string]*controlState
	digest      uint64        // of the list of control hosts held
	lastFresh   time.Duration // last reply of a control host in contact with a majority
	contact     contactLog
	fetcher     *documentFetcher
	newest      policy.Version // newest version that any control host offered
	newestSince time.Duration  // when it came into force at a control host, 0 if not known
	rejected    policy.Version // newest version that cannot be read
}

func newWatch(c *Config, v *view, now func() time.Duration, self func() fleet.Entry, r *reports, d *departures, m *meters) *watch {
	w := &watch{config: c, view: v, now: now, self: self, reports: r, departures: d, meters: m, controls: map[string]*controlState{}}
	w.fetcher = newDocumentFetcher(w)
	w.setSeeds(c.Seeds)
	return w
}

// setSeeds adds the peer addresses of control hosts to try; known ones stay.
func (w *watch) setSeeds(seeds []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, seed := range seeds {
		if _, ok := w.controls[seed]; !ok {
			w.controls[seed] = &controlState{control: fleet.Control{Peer: seed}}
		}
	}
}

// run pulls from control hosts until ctx ends.
func (w *watch) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { w.fetcher.run(ctx) })
	for i := range watchers {
		wg.Go(func() { w.watchOne(ctx, watcherRole(i)) })
	}
	wg.Wait()
}

// watchOne pulls from one control host after another until ctx ends. It changes
// after a failed pull and when a nearer control host becomes available.
func (w *watch) watchOne(ctx context.Context, r role) {
	for ctx.Err() == nil {
		c := w.pick(r)
		if c == nil {
			_ = wait.For(ctx, idlePause) // the loop condition checks ctx
			continue
		}
		for ctx.Err() == nil && w.pull(ctx, c) && !w.nearer(c) {
		}
		w.release(c)
	}
}

// pull asks a control host for changes. It returns false, after setting the control
// host aside, if there was no answer or no contact with a majority.
func (w *watch) pull(ctx context.Context, c *controlState) bool {
	version, orders := w.view.versions()
	self := w.self()
	w.mu.Lock()
	req := fleet.PullRequest{Entry: self, Version: version, Orders: orders, Epoch: c.epoch, Revision: c.revision,
		Controls: w.digest, Wait: pullWait, Reports: w.reports.take(c.control.Peer), StateNumber: c.states, Leaving: w.departures.list(),
		Fetches: true, Known: c.newest}
	address := c.control.Peer
	w.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := peer.Call[fleet.PullRequest, fleet.PullReply](call, w.config.Client, address, fleet.MethodPull, req)
	if err != nil {
		if ctx.Err() == nil {
			backOff := unreachableBackoff
			if peer.IsRefused(err) {
				backOff = refusedBackoff
			}
			w.backOff(c, backOff, "unreachable", err)
		}
		return false
	}
	w.apply(c, &reply)
	w.checkContact()
	if !reply.Fresh {
		w.noContact(c)
	}
	return reply.Fresh
}

// noContact sets a control host aside that is not in contact with a majority, for longer
// with each answer in a row, so that watchers rarely leave others to ask it again.
func (w *watch) noContact(c *controlState) {
	w.mu.Lock()
	during := min(refusedBackoff<<min(c.withoutContact, maxDoublings), unreachableBackoff)
	c.withoutContact++
	w.mu.Unlock()
	w.backOff(c, during, "not in contact with a majority", nil)
}

// backOff sets a control host aside for a time after a failure.
func (w *watch) backOff(c *controlState, during time.Duration, reason string, err error) {
	w.mu.Lock()
	c.lastFailure = w.now()
	c.backoffUntil = c.lastFailure + during
	address := c.control.Peer
	w.mu.Unlock()
	w.config.Log.Warn("control host given up", "control", address, "during", during, "reason", reason, "err", err)
}

// forgetNoContact lets the control hosts be asked again that were set aside since they had
// no contact with a majority: a host that has regained contact shows that others may have
// as well. The lock is held.
func (w *watch) forgetNoContact(now time.Duration) {
	for _, c := range w.controls {
		if c.withoutContact > 0 {
			c.withoutContact, c.backoffUntil = 0, min(c.backoffUntil, now)
		}
	}
}

// apply updates the view, the reports and the control hosts from a reply.
func (w *watch) apply(c *controlState, reply *fleet.PullReply) {
	now := w.now()
	if reply.Document != nil {
		p, found := w.config.Decode(reply.Document.Body)
		if err := found.Err(); err != nil {
			w.config.Log.Error("policy cannot be read", "version", reply.Document.Version, "err", err)
		} else if first := w.view.current() == nil; w.view.setPolicy(p) {
			if !first && reply.DocumentAge > 0 {
				w.meters.time("policy.lag_ms", reply.DocumentAge)
			}
			w.config.Log.Info("policy in force", "version", p.Version, "routes", len(p.Routes), "control", c.control.Peer)
		}
	}
	if reply.Orders != nil && w.view.setOrders(reply.Index, reply.Orders) {
		w.config.Log.Info("orders in force", "index", reply.Index, "evacuated", reply.Orders.Evacuated, "departures", len(reply.Orders.Departures))
	}
	w.offer(c, reply)
	if reply.Orders != nil {
		w.departures.confirm(reply.Orders.Departures)
	}
	for i := range reply.Targets {
		w.view.targets.Apply(now, reply.Targets[i])
	}
	w.reports.apply(reply.States)
	w.view.setPlace(now, reply.Rank, reply.EntryCount)
	w.mu.Lock()
	defer w.mu.Unlock()
	c.states = reply.StateNumber
	c.epoch, c.revision = reply.Epoch, reply.Revision
	if reply.Fresh {
		if now-w.lastFresh > contactLimit {
			w.forgetNoContact(now)
		}
		w.lastFresh, c.lastAnswer = now, now
		c.withoutContact = 0
	}
	if reply.Controls != nil {
		w.setControls(reply)
	}
}

// setControls adds and updates the control hosts of a reply; the lock is held.
func (w *watch) setControls(reply *fleet.PullReply) {
	w.digest = reply.ControlsDigest
	for _, control := range reply.Controls {
		c, ok := w.controls[control.Peer]
		if !ok {
			c = &controlState{}
			w.controls[control.Peer] = c
		}
		c.control = control
	}
}

// informed reports whether any control host in contact with a majority has answered
// since the start.
func (w *watch) informed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastFresh > 0
}

// age returns the time since the last answer of a control host in contact with a
// majority.
func (w *watch) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now() - w.lastFresh
}
