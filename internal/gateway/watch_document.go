package gateway

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// offer records the version that a control host offers.
func (w *watch) offer(c *controlState, reply *fleet.PullReply) {
	if reply.Newest == 0 {
		return
	}
	w.mu.Lock()
	c.newest = max(c.newest, reply.Newest)
	if reply.Newest > w.newest {
		w.newest, w.newestSince = reply.Newest, 0
		if reply.DocumentAge > 0 {
			w.newestSince = w.now() - reply.DocumentAge
		}
	}
	w.mu.Unlock()
	w.fetcher.offered()
}

// outdated reports whether a newer version than the one in force is offered.
func (w *watch) outdated() bool {
	held, _ := w.view.versions()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest > max(held, w.rejected)
}

// policyLag returns how long ago a version came into force at a control host, 0 if that
// is not known.
func (w *watch) policyLag(version policy.Version) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version != w.newest || w.newestSince == 0 {
		return 0
	}
	return w.now() - w.newestSince
}

// rejectDocument records a version that cannot be read, so that it is not fetched again.
func (w *watch) rejectDocument(version policy.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rejected = max(w.rejected, version)
}

// documentSource returns the peer address of the nearest watched control host that
// offers a newer version than the one in force, empty if there is none.
func (w *watch) documentSource() string {
	held, _ := w.view.versions()
	w.mu.Lock()
	defer w.mu.Unlock()
	offers := func(c *controlState) bool { return c.watched && c.newest > held }
	usable := func(c *controlState) bool { return offers(c) && w.now() >= c.fetchBackoffUntil }
	c := w.best(usable)
	if c == nil {
		c = w.best(offers)
	}
	if c == nil {
		return ""
	}
	return c.control.Peer
}

// documentFailed makes the other watched control host the source of documents for a
// time.
func (w *watch) documentFailed(source string, err error) {
	w.mu.Lock()
	if c, ok := w.controls[source]; ok {
		c.fetchBackoffUntil = w.now() + unreachableBackoff
	}
	w.mu.Unlock()
	w.meters.count("policy.fetch_failed")
	w.config.Log.Warn("part of the policy not fetched", "control", source, "err", err)
}
