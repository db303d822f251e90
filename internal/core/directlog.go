package core

import (
	"sync"
	"time"
)

// refreshAfter is the time after which an unchanged target is told in full
// again, so that a host that holds something else does not keep it.
const refreshAfter = 15 * time.Second

// directRecord is when a target announced itself to this host.
type directRecord struct {
	heard   time.Duration // last
	changed time.Duration // last with news
}

// directLog holds when targets announced themselves to this host.
type directLog struct {
	mu      sync.Mutex
	records map[string]*directRecord
}

func newDirectLog() *directLog { return &directLog{records: map[string]*directRecord{}} }

// note takes an announcement; news says that it changed something.
func (l *directLog) note(name string, now time.Duration, news bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[name]
	if !ok {
		r = &directRecord{}
		l.records[name] = r
	}
	r.heard = now
	if news || !ok || now-r.changed > refreshAfter {
		r.changed = now
	}
}

// refresh makes a target be told in full to all hosts once more.
func (l *directLog) refresh(name string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.records[name]; ok {
		r.heard, r.changed = now, now
	}
}

// since returns the targets that announced something new after a time, and
// those that only announced themselves again.
func (l *directLog) since(after, now time.Duration) (news, beats []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, r := range l.records {
		switch {
		case r.changed > after:
			news = append(news, name)
		case r.heard > after:
			beats = append(beats, name)
		case now-r.heard > forgetTargets:
			delete(l.records, name)
		}
	}
	return news, beats
}
