package gateway

import (
	"cmp"
	"slices"
)

// pick marks the nearest control host that is neither watched nor set aside as
// watched and returns it. If there is none, it picks the one that failed longest
// ago: after a common outage all have failed, and some may have recovered. It
// returns nil if there is none of these either.
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

// leastRecentlyFailed returns the unwatched control host that failed longest ago,
// nil if all are watched or have failed within refusedBackoff.
func (w *watch) leastRecentlyFailed() *controlState {
	var first *controlState
	for _, c := range w.controls {
		if c.watched || w.now()-c.lastFailure < refusedBackoff {
			continue
		}
		if first == nil || c.lastFailure < first.lastFailure {
			first = c
		}
	}
	return first
}

// best returns the nearest control host that fits, nil if none does. Equal distances
// are ordered by peer address; the lock is held.
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

// distance returns the distance class of a control host: the availability zone of
// this host, its region, or another region.
func (w *watch) distance(c *controlState) int {
	switch {
	case c.control.Zone == w.config.Zone:
		return ownZone
	case c.control.Region == w.config.Region:
		return ownRegion
	}
	return otherRegion
}

// nearer reports whether a control host that is nearer than c is free.
func (w *watch) nearer(c *controlState) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := w.best(w.free)
	return best != nil && w.distance(best) < w.distance(c)
}

// release ends the watch of a control host and closes the connection to it. The
// host may lose power while the connection is idle, and the reset of the old
// connection would then count as a failure of the restarted host.
func (w *watch) release(c *controlState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.watched = false
	w.reports.forget(c.control.Peer)
	w.config.Client.Disconnect(c.control.Peer)
}
