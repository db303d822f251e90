package core

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

// controlExpiry is the time without a message after which a control host is
// removed from the list that entry hosts and other control hosts receive.
const controlExpiry = 20 * time.Second

type controlRecord struct {
	control  fleet.Control
	heard    time.Duration // last message of the host, or first report of it by another; 0 if none
	sentUpTo time.Duration // changes up to this time were delivered to the host
	inFlight bool          // an exchange with the host is in flight
}

// controlTable holds the other control hosts by peer address. It is safe for
// concurrent use.
type controlTable struct {
	self fleet.Control

	mu      sync.Mutex
	records map[string]*controlRecord
	seeds   []string
}

func newControlTable(self fleet.Control, seeds []string) *controlTable {
	t := &controlTable{self: self, records: map[string]*controlRecord{}}
	t.setSeeds(seeds)
	return t
}

// setSeeds replaces the seeds, which are contacted even before any message from
// them arrived.
func (t *controlTable) setSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = slices.Clone(seeds)
}

// heard records that a message of a control host arrived.
func (t *controlTable) heard(now time.Duration, c fleet.Control) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Peer == t.self.Peer {
		return
	}
	r, ok := t.records[c.Peer]
	if !ok {
		r = &controlRecord{}
		t.records[c.Peer] = r
	}
	r.control, r.heard = c, now
}

// learn adds a control host that another control host reported, unless it is
// already in the table.
func (t *controlTable) learn(now time.Duration, c fleet.Control) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.records[c.Peer]; !ok && c.Peer != t.self.Peer {
		t.records[c.Peer] = &controlRecord{control: c, heard: now}
	}
}

// known returns the control hosts that were heard of within controlExpiry, including
// this one, sorted by peer address. It removes the expired ones.
func (t *controlTable) known(now time.Duration) []fleet.Control {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []fleet.Control{t.self}
	for peer, r := range t.records {
		if now-r.heard > controlExpiry {
			delete(t.records, peer)
			continue
		}
		if r.control.Zone != "" {
			list = append(list, r.control)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Control) int { return strings.Compare(a.Peer, b.Peer) })
	return list
}

// controlsDigest returns a hash of a list of control hosts, by which an entry host
// and a control host compare their lists.
func controlsDigest(list []fleet.Control) uint64 {
	h := xxhash.New()
	for _, c := range list {
		_, _ = h.WriteString(c.Peer + "|" + c.Zone + "|" + c.Relay + "\n") // a hash never fails
	}
	return h.Sum64()
}

// startExchanges returns the addresses without an exchange in flight, each with the
// time up to which changes were delivered, and marks them as in flight.
func (t *controlTable) startExchanges() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seed := range t.seeds {
		if _, ok := t.records[seed]; !ok && seed != t.self.Peer {
			t.records[seed] = &controlRecord{control: fleet.Control{Peer: seed}}
		}
	}
	idle := map[string]time.Duration{}
	for peer, r := range t.records {
		if !r.inFlight {
			r.inFlight = true
			idle[peer] = r.sentUpTo
		}
	}
	return idle
}

// finishExchange records the end of an exchange that carried the changes up to
// sentUpTo; ok reports whether it was delivered.
func (t *controlTable) finishExchange(peer string, sentUpTo time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[peer]
	if r == nil {
		return
	}
	r.inFlight = false
	if ok {
		r.sentUpTo = sentUpTo
	}
}
