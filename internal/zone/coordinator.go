package zone

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/zonelease"
)

// coordinator is the state of one term in office.
type coordinator struct {
	term  uint64
	ended chan struct{}

	mu           sync.Mutex
	pool         *slots.Pool
	waiters      map[slots.ID]chan slots.Decision
	hosts        map[string]hostBeat
	incarnations map[string]string // newest incarnation of holders
	asking       map[string]bool   // hosts with an open question about held permits
	since        time.Time
	layout       *layout // whose policy the pool has
}

// hostBeat is the last heartbeat of an entry host of the zone.
type hostBeat struct {
	inFlight int
	leaving  bool
	heard    time.Time
}

func newCoordinator(now time.Time, term uint64, p slots.Policy, hosts []string) *coordinator {
	return &coordinator{
		term: term, ended: make(chan struct{}), since: now,
		pool:         slots.NewPool(now, p, hosts, zonelease.LeaseDuration),
		waiters:      map[slots.ID]chan slots.Decision{},
		hosts:        map[string]hostBeat{},
		incarnations: map[string]string{},
		asking:       map[string]bool{},
	}
}

func (c *coordinator) end() { close(c.ended) }

// deliver hands decisions to the waiting handlers. The caller holds mu.
func (c *coordinator) deliver() {
	for _, d := range c.pool.Decisions() {
		if ch, ok := c.waiters[d.ID]; ok {
			delete(c.waiters, d.ID)
			ch <- d // buffered for the one decision
		}
	}
}

// noteIncarnation notes the incarnation of a holder. The caller holds mu.
func (c *coordinator) noteIncarnation(now time.Time, h slots.Holder) {
	if c.incarnations[h.Host] != h.Incarnation {
		c.incarnations[h.Host] = h.Incarnation
		c.pool.HolderRestarted(now, h)
	}
}
