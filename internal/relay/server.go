package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
)

const (
	// maxInFlight bounds the requests at work; entry hosts send further ones
	// to the targets themselves.
	maxInFlight = 512
	// drainPollInterval is how often a stop looks whether all work has ended.
	drainPollInterval = 50 * time.Millisecond
	acceptBackoff     = 10 * time.Millisecond
)

// Server is a relay.
type Server struct {
	config      Config
	start       time.Time
	pool        *hop.Pool
	pacers      *pacers
	dialBreaker *dialBreaker
	sampler     *telemetry.Sampler

	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns a relay; Serve starts it.
func New(c Config) *Server {
	s := &Server{config: c, start: time.Now(), pacers: newPacers(), dialBreaker: newDialBreaker(), sampler: telemetry.NewSampler()}
	s.pool = hop.NewPool(c.Codec, s.now, c.MostIdle)
	return s
}

func (s *Server) now() time.Duration { return time.Since(s.start) }

// Serve takes connections of entry hosts until ctx ends.
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

// Stop takes no further requests and waits until the ones at work have ended,
// limit at most.
func (s *Server) Stop(limit time.Duration) {
	begin := time.Now()
	s.stopping.Store(true)
	for time.Since(begin) < limit && s.inFlight.Load() > 0 {
		time.Sleep(drainPollInterval)
	}
	s.config.Log.Info("relay stopped", "after", time.Since(begin), "at_work", s.inFlight.Load())
}

// tryAcquire counts a request unless the relay takes no more.
func (s *Server) tryAcquire() bool {
	if s.inFlight.Add(1) > maxInFlight || s.stopping.Load() {
		s.inFlight.Add(-1)
		return false
	}
	return true
}

func (s *Server) release() { s.inFlight.Add(-1) }

func (s *Server) count(name string) { metrics.GetOrRegisterCounter(name, s.config.Metrics).Inc(1) }

// Observe updates the gauges and drops what is no longer of use.
func (s *Server) Observe() {
	s.dialBreaker.expire(s.now())
	metrics.GetOrRegisterGauge("relay.working", s.config.Metrics).Update(s.inFlight.Load())
	metrics.GetOrRegisterGauge("relay.idle_connections", s.config.Metrics).Update(int64(s.pool.Size()))
}
