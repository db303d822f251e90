package gateway

import "time"

// contactLimit is the time without a reply after which contact counts as lost.
// Pulls are normally answered several times within it.
const contactLimit = time.Second

// contactLog detects when an entry host loses and regains contact with the control
// hosts that reach a majority. It is not safe for concurrent use.
type contactLog struct {
	lost  bool
	since time.Duration // last reply before the loss
}

// check reports whether contact was lost or regained since the last call, and for
// how long there was no reply. last is the time of the last reply.
func (c *contactLog) check(now, last time.Duration) (changed bool, silent time.Duration) {
	lost := now-last > contactLimit
	if lost == c.lost {
		return false, 0
	}
	c.lost = lost
	if lost {
		c.since = last
		return true, now - last
	}
	return true, last - c.since
}

// checkContact logs when contact with the control hosts is lost and regained.
func (w *watch) checkContact() {
	version, _ := w.view.versions()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastFresh == 0 {
		return // not in contact yet since the start
	}
	now := w.now()
	changed, silent := w.contact.check(now, w.lastFresh)
	if !changed {
		return
	}
	aside := 0
	for _, c := range w.controls {
		if c.backoffUntil > now {
			aside++
		}
	}
	pairs := []any{"silent", silent, "version", version, "controls", len(w.controls), "set_aside", aside}
	if w.contact.lost {
		w.meters.count("control.contact_lost")
		w.config.Log.Warn("contact with control hosts lost", pairs...)
		return
	}
	w.config.Log.Info("contact with control hosts regained", pairs...)
}
