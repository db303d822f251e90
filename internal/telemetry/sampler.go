package telemetry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// routineSampleInterval is the number of requests of which, on average, one has
	// its routine lines logged.
	routineSampleInterval = 8
	// failureRate and failureBurst limit the lines about failed requests.
	failureRate  = 40  // lines per second
	failureBurst = 200 // lines
)

// Sampler limits the number of log lines about individual requests. It is safe for
// concurrent use.
type Sampler struct {
	mu       sync.Mutex
	failures *rate.Limiter
	omitted  int // failure lines since the last one logged
}

// NewSampler returns a sampler whose full burst is available.
func NewSampler() *Sampler {
	return &Sampler{failures: rate.NewLimiter(failureRate, failureBurst)}
}

// Routine reports whether the routine lines of a request are logged. The decision
// depends only on the request id, so all processes log the same requests.
func (s *Sampler) Routine(id string) bool { return xxhash.Sum64String(id)%routineSampleInterval == 0 }

// Warn logs a line about a failed request, unless the rate limit is exceeded. It
// adds the number of lines omitted before.
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

// Failure reports whether a line about a failure at the given time may be logged. If
// so, it also returns the number of lines omitted since the previous one.
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
