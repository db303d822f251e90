package core

import (
	"sync"
	"time"
)

// refreshAfter is the time after which an unchanged target or entry host is sent
// in full again, which corrects hosts whose record of it differs.
const refreshAfter = 15 * time.Second

// directRecord holds when one target announced itself to this host, as times since
// the start of the process.
type directRecord struct {
	heard   time.Duration // last announcement
	changed time.Duration // last announcement that has to be sent in full
}

// directLog records when targets announced themselves to this host directly, as
// opposed to through another control host. It is safe for concurrent use.
type directLog struct {
	mu      sync.Mutex
	records map[string]*directRecord
}

func newDirectLog() *directLog { return &directLog{records: map[string]*directRecord{}} }

// record adds an announcement; updated says whether it changed the roster.
func (l *directLog) record(name string, now time.Duration, updated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[name]
	if !ok {
		r = &directRecord{}
		l.records[name] = r
	}
	r.heard = now
	if updated || !ok || now-r.changed > refreshAfter {
		r.changed = now
	}
}

// refresh has the next exchange with each control host send the target in full.
func (l *directLog) refresh(name string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.records[name]; ok {
		r.heard, r.changed = now, now
	}
}

// since returns the targets that have to be sent in full because of an announcement
// later than after, and those that only repeated an announcement since then. It
// removes targets silent for longer than targetExpiry.
func (l *directLog) since(after, now time.Duration) (updated, heartbeats []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, r := range l.records {
		switch {
		case r.changed > after:
			updated = append(updated, name)
		case r.heard > after:
			heartbeats = append(heartbeats, name)
		case now-r.heard > targetExpiry:
			delete(l.records, name)
		}
	}
	return updated, heartbeats
}
