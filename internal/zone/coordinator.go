package zone

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/zonelease"
)

// coordinator is the state of this host as the zone's coordinator for one term.
type coordinator struct {
	term  uint64
	ended chan struct{} // closed when the term ends

	mu           sync.Mutex
	pool         *slots.Pool
	waiters      map[slots.ID]chan slots.Decision
	hosts        map[string]hostBeat
	incarnations map[string]string // newest incarnation of each holder's host
	asking       map[string]bool   // hosts with a slots.held request in flight
	since        time.Time         // start of the term
	layout       *layout           // the layout whose policy the pool applies
}

// hostBeat is the content of an entry host's last heartbeat.
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

// deliver sends the pool's decisions to the waiting handlers. The caller holds mu.
func (c *coordinator) deliver() {
	for _, d := range c.pool.Decisions() {
		if ch, ok := c.waiters[d.ID]; ok {
			delete(c.waiters, d.ID)
			ch <- d // does not block: the channel has room for the only decision
		}
	}
}

// noteIncarnation records a holder's incarnation. If the holder has restarted, its
// earlier permits are freed. The caller holds mu.
func (c *coordinator) noteIncarnation(now time.Time, h slots.Holder) {
	if c.incarnations[h.Host] != h.Incarnation {
		c.incarnations[h.Host] = h.Incarnation
		c.pool.HolderRestarted(now, h)
	}
}
