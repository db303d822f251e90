package core

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

const (
	// entryLiveTimeout is the silence after which callers are no longer directed to
	// an entry host.
	entryLiveTimeout = 1500 * time.Millisecond
	// entryExpiry is the silence after which an entry host is removed from the table.
	entryExpiry = 30 * time.Second
)

type entryRecord struct {
	entry fleet.Entry
	heard time.Duration // last call of the entry host to any control host
	// direct is when the entry host last called this control host, 0 if never.
	direct time.Duration
	// changed is when the record last had to be sent in full to the other control hosts.
	changed time.Duration
	logged  string // state that was last logged
}

// entryTable holds the entry hosts that called this or another control host. It is
// safe for concurrent use.
type entryTable struct {
	mu      sync.Mutex
	records map[string]*entryRecord
}

func newEntryTable() *entryTable { return &entryTable{records: map[string]*entryRecord{}} }

// record stores the description that an entry host gave of itself age ago; direct
// says that it called this control host. It reports whether the entry host is new or
// its readiness or start time changed.
func (t *entryTable) record(now, age time.Duration, e fleet.Entry, direct bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := now - age
	r, ok := t.records[e.Name]
	if !ok {
		r = &entryRecord{}
		t.records[e.Name] = r
	}
	first := direct && r.direct == 0
	if direct {
		r.direct = now
	}
	if ok && (heard < r.heard || e.Started < r.entry.Started) {
		return false
	}
	changed := !ok || r.entry.Ready != e.Ready || r.entry.Started != e.Started
	r.entry, r.heard = e, heard
	if changed || first || now-r.changed > refreshAfter {
		r.changed = now
	}
	return changed
}

// recordHeartbeat records that an entry host called another control host. It reports
// whether this host knows the entry host with that start time or a later one.
func (t *entryTable) recordHeartbeat(now time.Duration, a fleet.Alive) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[a.Name]
	if !ok || r.entry.Started < a.Started {
		return false
	}
	if r.entry.Started == a.Started {
		r.heard = max(r.heard, now-time.Duration(a.AgeMs)*time.Millisecond)
	}
	return true
}

// refresh has the next exchange with each control host send the entry host in full.
func (t *entryTable) refresh(now time.Duration, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[name]; ok {
		r.changed = now
	}
}

// entryChange is a change of the state of an entry host as seen by this host.
type entryChange struct {
	name, zone, state string
	silent            time.Duration
}

// changes returns the entry hosts that became ready, not ready or silent since the
// last call.
func (t *entryTable) changes(now time.Duration) []entryChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []entryChange
	for name, r := range t.records {
		state := "not ready"
		if now-r.heard > entryLiveTimeout {
			state = "silent"
		} else if r.entry.Ready {
			state = "ready"
		}
		if state != r.logged {
			r.logged = state
			list = append(list, entryChange{name, r.entry.Zone, state, now - r.heard})
		}
	}
	return list
}

// since returns the entry hosts that called this host within entryRepeatWindow: those
// that changed later than after in full, the others as heartbeats. It removes entry hosts
// silent for longer than entryExpiry.
func (t *entryTable) since(after, now time.Duration) (updated []fleet.EntryReport, alive []fleet.Alive) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.records {
		if now-r.heard > entryExpiry {
			delete(t.records, name)
			continue
		}
		switch {
		case r.direct == 0 || now-r.direct > entryRepeatWindow:
		case r.changed > after:
			updated = append(updated, fleet.EntryReport{Entry: r.entry, Age: now - r.heard})
		default:
			alive = append(alive, fleet.Alive{Name: name, Started: r.entry.Started, AgeMs: (now - r.heard).Milliseconds()})
		}
	}
	return updated, alive
}

// live returns the entry hosts that were heard of within entryLiveTimeout.
func (t *entryTable) live(now time.Duration) []fleet.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []fleet.Entry
	for _, r := range t.records {
		if now-r.heard <= entryLiveTimeout {
			list = append(list, r.entry)
		}
	}
	return list
}
