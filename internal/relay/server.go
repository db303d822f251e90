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
	// maxExchanges bounds the requests at work; entry hosts send further ones
	// to the targets themselves.
	maxExchanges = 512
	// stopCheck is how often a stop looks whether all work has ended.
	stopCheck   = 50 * time.Millisecond
	acceptPause = 10 * time.Millisecond
)

// Server is a relay.
type Server struct {
	config   Config
	start    time.Time
	pool     *hop.Pool
	pacers   *pacers
	silences *silences
	sampler  *telemetry.Sampler

	stopping atomic.Bool
	working  atomic.Int64
}

// New returns a relay; Serve starts it.
func New(c Config) *Server {
	s := &Server{config: c, start: time.Now(), pacers: newPacers(), silences: newSilences(), sampler: telemetry.NewSampler()}
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
		time.Sleep(acceptPause)
	}
}

// Stop takes no further requests and waits until the ones at work have ended,
// limit at most.
func (s *Server) Stop(limit time.Duration) {
	begin := time.Now()
	s.stopping.Store(true)
	for time.Since(begin) < limit && s.working.Load() > 0 {
		time.Sleep(stopCheck)
	}
	s.config.Log.Info("relay stopped", "after", time.Since(begin), "at_work", s.working.Load())
}

// begin counts a request unless the relay takes no more.
func (s *Server) begin() bool {
	if s.working.Add(1) > maxExchanges || s.stopping.Load() {
		s.working.Add(-1)
		return false
	}
	return true
}

func (s *Server) end() { s.working.Add(-1) }

func (s *Server) count(name string) { metrics.GetOrRegisterCounter(name, s.config.Metrics).Inc(1) }

// Observe updates the gauges and drops what is no longer of use.
func (s *Server) Observe() {
	s.silences.forget(s.now())
	metrics.GetOrRegisterGauge("relay.working", s.config.Metrics).Update(s.working.Load())
	metrics.GetOrRegisterGauge("relay.idle_connections", s.config.Metrics).Update(int64(s.pool.Size()))
}
