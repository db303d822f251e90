package relay

import (
	"sync"
	"time"
)

const (
	// silentDials is the number of attempts to reach a target's host, within
	// silentMemory, that must time out before others are spared theirs. A single
	// one may be a lost packet.
	silentDials  = 2
	silentMemory = 2 * time.Second
	// silentPause is how long nobody tries to reach a silent host.
	silentPause = 500 * time.Millisecond
)

// silence is what is known of a host that does not answer.
type silence struct {
	failed int           // attempts that timed out, each soon after the one before
	last   time.Duration // when the newest of them did
}

// silences holds the addresses of targets whose hosts answer nothing, so that
// not each request waits for the time-out of its own connection.
type silences struct {
	mu        sync.Mutex
	addresses map[string]silence
}

func newSilences() *silences { return &silences{addresses: map[string]silence{}} }

// failed notes that an attempt to reach an address timed out.
func (s *silences) failed(now time.Duration, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.addresses[address]
	if now-a.last > silentMemory {
		a.failed = 0
	}
	s.addresses[address] = silence{failed: a.failed + 1, last: now}
}

// answered notes that an address was reached.
func (s *silences) answered(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.addresses, address)
}

// holds reports whether an address is not to be tried.
func (s *silences) holds(now time.Duration, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.addresses[address]
	return a.failed >= silentDials && now-a.last < silentPause
}

// forget drops the addresses that have not failed for long.
func (s *silences) forget(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, a := range s.addresses {
		if now-a.last > silentMemory {
			delete(s.addresses, address)
		}
	}
}
