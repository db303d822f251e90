package gateway

import (
	"cmp"
	"slices"
)

// role is what a watcher does while the entry host has no contact with a majority.
type role int

const (
	// nearest stays with the control hosts that are nearest: they know the targets of
	// this host's side of a partition.
	nearest role = iota
	// seeking asks the control hosts in turn, so that near ones without contact cannot
	// keep it from farther ones in contact.
	seeking
)

// watcherRole returns the role of the watcher with a number.
func watcherRole(i int) role {
	if i == 0 {
		return nearest
	}
	return seeking
}

// pick marks the nearest control host that is neither watched nor set aside as
// watched and returns it. If there is none, or for a seeking watcher without contact, it
// picks the one that failed longest ago: after a common outage all have failed, and some
// may have recovered. It returns nil if there is none of these either.
func (w *watch) pick(r role) *controlState {
	w.mu.Lock()
	defer w.mu.Unlock()
	var c *controlState
	if r != seeking || w.now()-w.lastFresh <= contactLimit {
		c = w.best(w.free)
	}
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
		if first == nil || w.failedEarlier(c, first) {
			first = c
		}
	}
	return first
}

// failedEarlier reports whether a control host failed longer ago than another, or is
// nearer if neither has failed; the lock is held.
func (w *watch) failedEarlier(a, b *controlState) bool {
	if a.lastFailure != b.lastFailure {
		return a.lastFailure < b.lastFailure
	}
	return w.compareDistance(a, b) < 0
}

// best returns the nearest control host that fits, nil if none does; the lock is held.
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
	return slices.MinFunc(list, w.compareDistance)
}

// compareDistance orders control hosts by distance, and equal distances by peer address.
func (w *watch) compareDistance(a, b *controlState) int {
	return cmp.Or(cmp.Compare(w.distance(a), w.distance(b)), cmp.Compare(a.control.Peer, b.control.Peer))
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
