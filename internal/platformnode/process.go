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
	// memoryLimitFraction is the fraction of the memory limit of the process that is
	// set as the soft limit of the Go runtime, above which it collects garbage more often.
	memoryLimitFraction = 0.6
	// defaultGrace is the time allowed for a shutdown if the settings have no GraceS.
	defaultGrace = 5 * time.Second
	// stopReserve is the part of the grace time that is reserved for what follows the
	// end of the work, such as writing the last log lines.
	stopReserve = 300 * time.Millisecond
	// flushTimeout bounds the wait for the last log lines if the output is blocked.
	flushTimeout = 100 * time.Millisecond
)

// process holds what the processes of control hosts and entry hosts share.
type process struct {
	settings *platform.Settings
	log      *log.Logger
	writer   *telemetry.AsyncWriter // output of log
	client   *peer.Client
	signals  chan os.Signal
	ctx      context.Context // of all goroutines of the process
	cancel   context.CancelFunc
}

// startProcess sets up the memory limit, the log, signal handling and the client
// for messages to other hosts.
func startProcess(program string, s *platform.Settings) (*process, error) {
	if s.Limits.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMb<<20) * memoryLimitFraction))
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

// serveMetrics starts to serve the metrics in r and to update those of the process.
func (p *process) serveMetrics(r metrics.Registry) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsTextHandler(r))
	go telemetry.WatchProcess(p.ctx, r, p.writer, p.log)
	return serveHTTP(p.ctx, p.settings.MetricsAddress(), mux, p.log)
}

// awaitStop blocks until SIGTERM or an interrupt.
func (p *process) awaitStop() { <-p.signals }

// stopTimeout returns the time that the process has to finish its work after SIGTERM.
func (p *process) stopTimeout() time.Duration {
	return p.settings.BoundDuration("GraceS", defaultGrace) - stopReserve
}

// shutdown cancels the context of the process and writes the last log lines.
func (p *process) shutdown() {
	p.cancel()
	p.writer.Flush(flushTimeout)
}
