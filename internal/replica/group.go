package replica

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/bytelimit"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
)

// Group is this host's member of the agreement group. Its methods are safe for
// concurrent use.
type Group struct {
	config  Config
	self    agree.ID
	start   time.Time // zero of the node's clock
	journal *journal
	applier *applier

	inbox  chan agree.Message
	queued *bytelimit.Limit // bytes of the messages in inbox
	calls  chan func()      // run by the loop
	saved  chan savedSnapshot
	quit   chan struct{} // closed by Stop or fail
	once   sync.Once
	wg     sync.WaitGroup

	// Fields used by the loop only.
	node           *agree.Node
	pending        map[uint64]proposal                // by index of the entry
	reads          map[uint64]chan<- agree.ReadResult // by id
	readID         uint64
	savingSnapshot bool

	mu            sync.Mutex
	status        agree.Status // after the last durable output
	counts        Counts
	historyExists bool // the node holds entries or a snapshot
	// contacts holds the addresses of the known hosts of the group, by name.
	contacts map[string]string
	err      error // first failure
}

// Start recovers the state in the folder and starts this host's member of the
// group. It does not wait for a leader.
func Start(c Config) (*Group, error) {
	return start(c, wal.Options{Folder: c.Folder, Host: c.Host}, 0)
}

// start is Start for a state machine that holds the entries up to applied already.
func start(c Config, o wal.Options, applied uint64) (*Group, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	j, p, identity, err := openJournal(o)
	if err != nil {
		return nil, err
	}
	if p.Snapshot.Index > applied {
		if err := c.Machine.Restore(p.Snapshot.Data); err != nil {
			_ = j.log.Close()
			return nil, fmt.Errorf("restore snapshot %d: %w", p.Snapshot.Index, err)
		}
	}
	g := &Group{
		config: c, self: agree.ID{Name: identity.Host, Incarnation: identity.Incarnation},
		start: time.Now(), journal: j,
		inbox: make(chan agree.Message, inboxLength), queued: bytelimit.New(inboxBytes), calls: make(chan func()),
		saved: make(chan savedSnapshot, 1), quit: make(chan struct{}),
		pending: map[uint64]proposal{}, reads: map[uint64]chan<- agree.ReadResult{},
		contacts: map[string]string{},
	}
	for _, m := range c.Members {
		g.contacts[m.Name] = m.Peer
	}
	g.node = agree.New(agree.Options{
		Self: g.self, Peer: c.peerAddress(c.Host), State: p.State, Snapshot: p.Snapshot, Entries: p.Entries,
		Random: rand.Int64N, AllowJoin: c.AllowJoin, SilentAfter: c.SilentAfter, ToleratedLosses: c.ToleratedLosses,
	}, g.now())
	g.applier = newApplier(c.Machine, max(applied, p.Snapshot.Index), g.fail)
	g.publish()
	peer.Register(c.Server, method, g.serve)
	c.Log.Info("agreement started", "incarnation", g.self.Incarnation, "term", p.State.Term,
		"snapshot", p.Snapshot.Index, "entries", len(p.Entries))
	g.wg.Go(g.loop)
	g.wg.Go(g.applier.run)
	g.wg.Go(g.join)
	g.wg.Go(g.probe)
	return g, nil
}

// Stop stops this host's member and waits until it has ended; its state stays on
// disk.
func (g *Group) Stop() {
	g.once.Do(func() { close(g.quit) })
	g.applier.stop()
	g.wg.Wait()
	_ = g.journal.log.Close() // a failed log has reported its error already
}

// fail stops the group after an error that it cannot recover from.
func (g *Group) fail(err error) {
	g.mu.Lock()
	if g.err == nil {
		g.err = err
	}
	g.mu.Unlock()
	g.config.Log.Error("agreement failed", "err", err)
	g.once.Do(func() { close(g.quit) })
	g.applier.stop()
}

func (g *Group) now() time.Duration { return time.Since(g.start) }

func (g *Group) stopped() bool {
	select {
	case <-g.quit:
		return true
	default:
		return false
	}
}
