package relay

import (
	"sync"
	"time"
)

const (
	// silentDials is the number of attempts in a row to reach a target's host that
	// must time out before others are spared theirs. A single one may be a lost packet.
	silentDials = 2
	// silentPause is how long nobody tries to reach a silent host.
	silentPause = 500 * time.Millisecond
)

// silence is what is known of a host that does not answer.
type silence struct {
	failed int           // attempts in a row that timed out
	until  time.Duration // end of the pause
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
	s.addresses[address] = silence{failed: s.addresses[address].failed + 1, until: now + silentPause}
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
	return a.failed >= silentDials && now < a.until
}

// forget drops the addresses whose pause ended long ago.
func (s *silences) forget(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, a := range s.addresses {
		if now > a.until+pacerForget {
			delete(s.addresses, address)
		}
	}
}
