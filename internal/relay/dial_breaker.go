package relay

import (
	"sync"
	"time"
)

const (
	// breakerThreshold is the number of attempts to reach a target's host, within
	// silentMemory, that must time out before others are spared theirs. A single
	// one may be a lost packet.
	breakerThreshold = 2
	breakerWindow    = 2 * time.Second
	// breakerOpenTime is how long nobody tries to reach a silent host.
	breakerOpenTime = 500 * time.Millisecond
)

// dialTimeouts is what is known of a host that does not answer.
type dialTimeouts struct {
	timedOut int           // attempts that timed out, each soon after the one before
	last     time.Duration // when the newest of them did
}

// dialBreaker holds the addresses of targets whose hosts answer nothing, so that
// not each request waits for the time-out of its own connection.
type dialBreaker struct {
	mu        sync.Mutex
	addresses map[string]dialTimeouts
}

func newDialBreaker() *dialBreaker { return &dialBreaker{addresses: map[string]dialTimeouts{}} }

// timedOut notes that an attempt to reach an address timed out.
func (s *dialBreaker) timedOut(now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.addresses[address]
	if now-a.last > breakerWindow {
		a.timedOut = 0
	}
	s.addresses[address] = dialTimeouts{timedOut: a.timedOut + 1, last: now}
}

// reached notes that an address was reached.
func (s *dialBreaker) reached(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.addresses, address)
}

// isOpen reports whether an address is not to be tried.
func (s *dialBreaker) isOpen(now time.Duration, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.addresses[address]
	return a.timedOut >= breakerThreshold && now-a.last < breakerOpenTime
}

// expire drops the addresses that have not failed for long.
func (s *dialBreaker) expire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, a := range s.addresses {
		if now-a.last > breakerWindow {
			delete(s.addresses, address)
		}
	}
}
