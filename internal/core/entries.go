package core

import (
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

const (
	// entryLive is the silence after which callers are no longer sent to an entry host.
	entryLive = 1500 * time.Millisecond
	// entryForget is the silence after which an entry host is forgotten.
	entryForget = 30 * time.Second
)

type entryRecord struct {
	entry fleet.Entry
	heard time.Duration
	// direct is when the entry host itself called, zero if it did not.
	direct time.Duration
	// changed is when the other control hosts last had to be told in full.
	changed time.Duration
	logged  string // state as last logged
}

// entryTable holds the entry hosts that this host has heard of.
type entryTable struct {
	mu      sync.Mutex
	records map[string]*entryRecord
}

func newEntryTable() *entryTable { return &entryTable{records: map[string]*entryRecord{}} }

// note takes the description of an entry host, age old. It reports whether
// callers have to be told.
func (t *entryTable) note(now, age time.Duration, e fleet.Entry, direct bool) bool {
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

// alive takes the news that an entry host has called another control host. It
// reports whether the start of the entry host is known.
func (t *entryTable) alive(now time.Duration, a fleet.Alive) bool {
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

// refresh makes an entry host be told in full to all control hosts once more.
func (t *entryTable) refresh(now time.Duration, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[name]; ok {
		r.changed = now
	}
}

// entryChange is a change of what this host believes of an entry host.
type entryChange struct {
	name, zone, state string
	silent            time.Duration
}

// changes returns the entry hosts that became usable, stopped or fell silent
// since the last call.
func (t *entryTable) changes(now time.Duration) []entryChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []entryChange
	for name, r := range t.records {
		state := "not ready"
		if now-r.heard > entryLive {
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

// since returns the entry hosts that called this host within entryNews: in full
// those with a change after told, in short the others.
func (t *entryTable) since(told, now time.Duration) (news []fleet.EntryReport, alive []fleet.Alive) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.records {
		if now-r.heard > entryForget {
			delete(t.records, name)
			continue
		}
		switch {
		case r.direct == 0 || now-r.direct > entryNews:
		case r.changed > told:
			news = append(news, fleet.EntryReport{Entry: r.entry, Age: now - r.heard})
		default:
			alive = append(alive, fleet.Alive{Name: name, Started: r.entry.Started, AgeMs: (now - r.heard).Milliseconds()})
		}
	}
	return news, alive
}

// live returns the entry hosts that were heard of lately.
func (t *entryTable) live(now time.Duration) []fleet.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []fleet.Entry
	for _, r := range t.records {
		if now-r.heard <= entryLive {
			list = append(list, r.entry)
		}
	}
	return list
}
