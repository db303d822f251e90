package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
)

const (
	// maxInFlight limits the requests in flight. Entry hosts send further requests to
	// the targets directly.
	maxInFlight = 512
	// drainPollInterval is how often Stop checks whether all requests have ended.
	drainPollInterval = 50 * time.Millisecond
	acceptBackoff     = 10 * time.Millisecond // between failed accepts
)

// Server is a relay.
type Server struct {
	config      Config
	start       time.Time
	pool        *hop.Pool
	pacers      *pacers
	dialBreaker *dialBreaker
	pauses      *evidence.Pauses
	sampler     *telemetry.Sampler

	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns a relay. Serve starts it.
func New(c Config) *Server {
	s := &Server{config: c, start: time.Now(), pacers: newPacers(), dialBreaker: newDialBreaker(), pauses: evidence.NewPauses(), sampler: telemetry.NewSampler()}
	s.pool = hop.NewPool(c.Codec, s.now, c.MaxIdleConnections)
	s.pool.Bind(c.Address)
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Serve accepts connections of entry hosts until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	for {
		conn, err := l.Accept()
		if err == nil {
			go newSession(s, conn).serve(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.config.Log.Warn("connection of an entry host cannot be accepted", "err", err)
		time.Sleep(acceptBackoff)
	}
}

// Stop rejects further requests and waits up to limit for those in flight to end.
func (s *Server) Stop(limit time.Duration) {
	begin := time.Now()
	s.stopping.Store(true)
	for time.Since(begin) < limit && s.inFlight.Load() > 0 {
		time.Sleep(drainPollInterval)
	}
	s.config.Log.Info("relay stopped", "after", time.Since(begin), "at_work", s.inFlight.Load())
}

// tryAcquire counts a request as in flight. It returns false if the relay is at its
// limit or stopping.
func (s *Server) tryAcquire() bool {
	if s.inFlight.Add(1) > maxInFlight || s.stopping.Load() {
		s.inFlight.Add(-1)
		return false
	}
	return true
}

// release ends the count of a request that tryAcquire admitted.
func (s *Server) release() { s.inFlight.Add(-1) }

func (s *Server) count(name string) { metrics.GetOrRegisterCounter(name, s.config.Metrics).Inc(1) }

// Observe updates the gauges and drops expired entries of the dial breaker.
func (s *Server) Observe() {
	s.dialBreaker.expire(s.now())
	metrics.GetOrRegisterGauge("relay.working", s.config.Metrics).Update(s.inFlight.Load())
	metrics.GetOrRegisterGauge("relay.idle_connections", s.config.Metrics).Update(int64(s.pool.Size()))
}
