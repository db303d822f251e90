package telemetry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// routineShare is the number of requests of which one has its routine lines logged.
	routineShare = 8
	// failureRate and failureBurst bound the lines about failed requests.
	failureRate  = 40 // a second
	failureBurst = 200
)

// Sampler bounds the lines about single requests. It is safe for concurrent use.
type Sampler struct {
	mu       sync.Mutex
	failures *rate.Limiter
	omitted  int
}

// NewSampler returns a sampler with its full allowance.
func NewSampler() *Sampler {
	return &Sampler{failures: rate.NewLimiter(failureRate, failureBurst)}
}

// Routine reports whether the routine lines of a request are logged. All
// processes decide alike, so the lines of one request are kept together.
func (s *Sampler) Routine(id string) bool { return xxhash.Sum64String(id)%routineShare == 0 }

// Warn logs a line about a failed request, within the rate.
func (s *Sampler) Warn(l *log.Logger, message string, pairs ...any) {
	omitted, ok := s.Failure(time.Now())
	if !ok {
		return
	}
	if omitted > 0 {
		pairs = append(pairs, "omitted_before", omitted)
	}
	l.Warn(message, pairs...)
}

// Failure reports whether a line about a failure is logged, and how many were
// omitted before it.
func (s *Sampler) Failure(now time.Time) (omitted int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failures.AllowN(now, 1) {
		s.omitted++
		return 0, false
	}
	omitted, s.omitted = s.omitted, 0
	return omitted, true
}
