package gateway

import (
	"cmp"
	"slices"
)

// pick picks the nearest control host that is neither watched nor set aside. If
// there is none, it picks the one that failed longest ago: after a common outage
// all have failed, which says nothing of how they are by now.
func (w *watch) pick() *controlState {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.best(w.free)
	if c == nil {
		c = w.leastRecentlyFailed()
	}
	if c != nil {
		c.watched = true
	}
	return c
}

// free reports whether a control host is neither watched nor set aside.
func (w *watch) free(c *controlState) bool { return !c.watched && c.backoffUntil <= w.now() }

// leastRecentlyFailed returns the control host that failed longest ago, nil if all have
// failed just now or are watched.
func (w *watch) leastRecentlyFailed() *controlState {
	var first *controlState
	for _, c := range w.controls {
		if c.watched || w.now()-c.failed < refusedBackoff {
			continue
		}
		if first == nil || c.failed < first.failed {
			first = c
		}
	}
	return first
}

func (w *watch) best(fits func(*controlState) bool) *controlState {
	var list []*controlState
	for _, c := range w.controls {
		if fits(c) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b *controlState) int {
		return cmp.Or(cmp.Compare(w.distance(a), w.distance(b)), cmp.Compare(a.control.Peer, b.control.Peer))
	})
}

// Distances of control hosts.
const (
	ownZone = iota
	ownRegion
	otherRegion
)

// distance orders control hosts: own availability zone, own region, others.
func (w *watch) distance(c *controlState) int {
	switch {
	case c.control.Zone == w.config.Zone:
		return ownZone
	case c.control.Region == w.config.Region:
		return ownRegion
	}
	return otherRegion
}

// nearer reports whether a nearer control host than c is free.
func (w *watch) nearer(c *controlState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := w.best(w.free)
	return best != nil && w.distance(best) < w.distance(c)
}

// release ends the watch of a control host and its connection: one that is kept
// without use may have died with the host, and its reset would count against the
// host that is back.
func (w *watch) release(c *controlState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.watched = false
	w.reports.forget(c.control.Peer)
	w.config.Client.Drop(c.control.Peer)
}
