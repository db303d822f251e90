package platformnode

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
	"github.com/hornbeamstack/hornbeamstack/platform"
)

const (
	// memoryUse is the part of the memory limit from which the collector works harder.
	memoryUse = 0.6
	// defaultGrace is the time for a stop where the settings state none.
	defaultGrace = 5 * time.Second
	// stopReserve is the part of the time for a stop that is left for the exit.
	stopReserve = 300 * time.Millisecond
	// flushLimit bounds the wait for an output that does not take the last lines.
	flushLimit = 100 * time.Millisecond
)

// process is what a control host and an entry host have in common.
type process struct {
	settings *platform.Settings
	log      *log.Logger
	writer   *telemetry.AsyncWriter // behind log
	client   *peer.Client
	signals  chan os.Signal
	ctx      context.Context // ends all parts
	cancel   context.CancelFunc
}

// startProcess prepares logs, signals and messages to other hosts.
func startProcess(program string, s *platform.Settings) (*process, error) {
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMb<<20) * memoryUse))
	}
	p := &process{settings: s, writer: telemetry.NewAsyncWriter(os.Stdout), client: peer.NewClient(s.Ip), signals: make(chan os.Signal, 2)}
	l, err := telemetry.NewLogger(p.writer, program, s.NodeName, "info")
	if err != nil {
		return nil, err
	}
	telemetry.UseForKratos(l)
	p.log = l
	signal.Notify(p.signals, syscall.SIGTERM, os.Interrupt)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.client.Bind(net.ParseIP(s.Ip))
	return p, nil
}

// serveMetrics serves the metrics of the process.
func (p *process) serveMetrics(r metrics.Registry) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsTextHandler(r))
	go telemetry.WatchProcess(p.ctx, r, p.writer, p.log)
	return serveHTTP(p.ctx, p.settings.MetricsAddress(), mux, p.log)
}

// awaitStop returns once the process is asked to stop.
func (p *process) awaitStop() { <-p.signals }

// stopLimit is the time that the process has to end its work after SIGTERM.
func (p *process) stopLimit() time.Duration {
	return p.settings.BoundTime("GraceS", defaultGrace) - stopReserve
}

// end ends all parts and writes the last log lines.
func (p *process) end() {
	p.cancel()
	p.writer.Flush(flushLimit)
}
