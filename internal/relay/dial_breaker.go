package relay

import (
	"sync"
	"time"
)

const (
	// breakerThreshold is the number of dials to a target's host that must time out,
	// each within breakerWindow of the one before, to open the breaker. A single
	// timeout may be due to a lost packet.
	breakerThreshold = 2
	breakerWindow    = 2 * time.Second
	// breakerOpenTime is how long an open breaker blocks dials after the last timeout.
	breakerOpenTime = 500 * time.Millisecond
)

// dialTimeouts counts the recent timeouts of one address.
type dialTimeouts struct {
	timedOut int           // consecutive timeouts, each within breakerWindow of the one before
	last     time.Duration // time of the latest timeout
}

// dialBreaker is a circuit breaker for the addresses of targets. While the host of a
// target is unresponsive, requests fail at once instead of each waiting for its own
// dial to time out.
type dialBreaker struct {
	mu        sync.Mutex
	addresses map[string]dialTimeouts
}

func newDialBreaker() *dialBreaker { return &dialBreaker{addresses: map[string]dialTimeouts{}} }

// timedOut records that a dial or an unacknowledged write to an address timed out.
func (b *dialBreaker) timedOut(now time.Duration, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.addresses[address]
	if now-a.last > breakerWindow {
		a.timedOut = 0
	}
	b.addresses[address] = dialTimeouts{timedOut: a.timedOut + 1, last: now}
}

// reached records a successful dial, which closes the breaker.
func (b *dialBreaker) reached(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.addresses, address)
}

// isOpen reports whether dials to an address are blocked.
func (b *dialBreaker) isOpen(now time.Duration, address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.addresses[address]
	return a.timedOut >= breakerThreshold && now-a.last < breakerOpenTime
}

// expire drops the addresses without a timeout within breakerWindow.
func (b *dialBreaker) expire(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for address, a := range b.addresses {
		if now-a.last > breakerWindow {
			delete(b.addresses, address)
		}
	}
}
