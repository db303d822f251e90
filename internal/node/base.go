package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
)

// flushTimeout bounds the time for exporting the remaining spans at shutdown.
const flushTimeout = 2 * time.Second

// base holds what entry and control hosts have in common: logs, metrics, traces,
// the listeners and the peer messaging.
type base struct {
	log          *log.Logger
	registry     metrics.Registry
	tracing      *telemetry.Tracing
	server       *peer.Server
	client       *peer.Client
	peerListener net.Listener
	http         net.Listener

	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu  sync.Mutex
	err error // first error with which a task ended early
}

// identity holds the names, addresses and telemetry settings of a host.
type identity struct{ program, host, peer, peerListen, http, level, traceFile string }

// newBase opens both ports before any task starts, so that a port already in use is
// reported first.
func newBase(id identity) (*base, error) {
	b := &base{registry: metrics.NewRegistry(), server: peer.NewServer(id.host), client: peer.NewClient(id.host)}
	var err error
	if b.log, err = telemetry.NewLogger(os.Stderr, id.program, id.host, id.level); err != nil {
		return nil, err
	}
	telemetry.UseForKratos(b.log)
	if host, _, err := net.SplitHostPort(id.peer); err == nil {
		b.client.Bind(net.ParseIP(host))
	}
	if b.tracing, err = telemetry.NewTracing(id.program, id.host, id.traceFile); err != nil {
		return nil, err
	}
	if id.peerListen == "" {
		id.peerListen = id.peer
	}
	if b.peerListener, err = net.Listen("tcp", id.peerListen); err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if b.http, err = net.Listen("tcp", id.http); err != nil {
		_ = b.peerListener.Close()
		return nil, fmt.Errorf("listen for HTTP: %w", err)
	}
	return b, b.registry.Register("peer.bytes", metrics.NewFunctionalGauge(func() int64 {
		return b.server.Traffic().Total() + b.client.Traffic().Total()
	}))
}

// start starts the peer server and returns the context of all tasks.
func (b *base) start() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.run("peer server", func() error { return b.server.Serve(ctx, b.peerListener) })
	return ctx
}

// run starts a task. It logs an error of the task and keeps the first one for end,
// unless the error results from the shutdown.
func (b *base) run(name string, task func() error) {
	b.tasks.Go(func() {
		err := task()
		if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
			return
		}
		b.log.Error("task ended", "task", name, "err", err)
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.err == nil {
			b.err = fmt.Errorf("%s: %w", name, err)
		}
	})
}

// end stops all tasks, exports the remaining spans and returns the first task error.
func (b *base) end() error {
	b.cancel()
	b.client.Close()
	_ = b.peerListener.Close()
	_ = b.http.Close()
	b.tasks.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := b.tracing.Shutdown(ctx); err != nil {
		b.log.Warn("spans lost", "err", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// newIncarnation returns a unique identifier for one start of a process.
func newIncarnation() string { return uuid.NewString() }
