package core

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

// controlForget is the silence after which a control host is no longer named.
const controlForget = 20 * time.Second

type controlRecord struct {
	control fleet.Control
	heard   time.Duration
	told    time.Duration // direct news up to this time was delivered
	busy    bool
}

// controlTable holds the other control hosts by peer address.
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

// setSeeds replaces the seeds, which are tried even if they were never heard.
func (t *controlTable) setSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = slices.Clone(seeds)
}

// heard notes a message of a control host.
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

// learn adds an address that another host named.
func (t *controlTable) learn(now time.Duration, c fleet.Control) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.records[c.Peer]; !ok && c.Peer != t.self.Peer {
		t.records[c.Peer] = &controlRecord{control: c, heard: now}
	}
}

// known returns the control hosts that were heard of lately, this one included.
func (t *controlTable) known(now time.Duration) []fleet.Control {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []fleet.Control{t.self}
	for peer, r := range t.records {
		if now-r.heard > controlForget {
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

// digest identifies a list of control hosts.
func digest(list []fleet.Control) uint64 {
	h := xxhash.New()
	for _, c := range list {
		_, _ = h.WriteString(c.Peer + "|" + c.Zone + "|" + c.Relay + "\n") // a hash never fails
	}
	return h.Sum64()
}

// begin returns the addresses that no message is on its way to, with the time
// up to which each has been told, and marks them busy.
func (t *controlTable) begin() map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seed := range t.seeds {
		if _, ok := t.records[seed]; !ok && seed != t.self.Peer {
			t.records[seed] = &controlRecord{control: fleet.Control{Peer: seed}}
		}
	}
	idle := map[string]time.Duration{}
	for peer, r := range t.records {
		if !r.busy {
			r.busy = true
			idle[peer] = r.told
		}
	}
	return idle
}

// end notes the result of a message that carried all direct news up to told.
func (t *controlTable) end(peer string, told time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[peer]
	if r == nil {
		return
	}
	r.busy = false
	if ok {
		r.told = told
	}
}
