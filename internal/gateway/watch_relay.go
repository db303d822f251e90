package gateway

import (
	"math"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
)

// relay returns the relay of a control host in this region that has answered within
// a time, preferably one in this availability zone. The address is "" if there is
// none.
func (w *watch) relay(within time.Duration) hop.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := w.best(func(c *controlState) bool {
		return c.control.Relay != "" && c.lastAnswer > 0 && w.now()-c.lastAnswer < within && w.distance(c) < otherRegion
	})
	if best == nil {
		return hop.Endpoint{}
	}
	return hop.Endpoint{Address: best.control.Relay, Start: best.epoch}
}

// relaySilent returns the time since the last answer of a relay's host, the largest
// duration if the relay is unknown.
func (w *watch) relaySilent(address string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	silent := time.Duration(math.MaxInt64)
	for _, c := range w.controls {
		if c.control.Relay == address {
			silent = min(silent, w.now()-c.lastAnswer)
		}
	}
	return silent
}
