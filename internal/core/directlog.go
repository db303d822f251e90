package core

import (
	"sync"
	"time"
)

// directLog holds when targets announced themselves to this host.
type directLog struct {
	mu    sync.Mutex
	heard map[string]time.Duration
}

func newDirectLog() *directLog { return &directLog{heard: map[string]time.Duration{}} }

func (l *directLog) note(name string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[name] = now
}

// since returns the targets that announced themselves after a time.
func (l *directLog) since(after, now time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, at := range l.heard {
		if at > after {
			names = append(names, name)
		} else if now-at > forgetTargets {
			delete(l.heard, name)
		}
	}
	return names
}
