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

// flushTimeout bounds how long spans are written out at the end.
const flushTimeout = 2 * time.Second

// base holds what every program has: logs, metrics, traces and messages.
type base struct {
	log      *log.Logger
	registry metrics.Registry
	tracing  *telemetry.Tracing
	server   *peer.Server
	client   *peer.Client
	peers    net.Listener
	http     net.Listener

	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu  sync.Mutex
	err error // first error of a task that should have run on
}

// identity names a host and its addresses.
type identity struct{ program, host, peer, peerListen, http, level, traceFile string }

// newBase opens both ports, so that a taken port is reported before anything runs.
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
	if b.peers, err = net.Listen("tcp", id.peerListen); err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if b.http, err = net.Listen("tcp", id.http); err != nil {
		_ = b.peers.Close()
		return nil, fmt.Errorf("listen for HTTP: %w", err)
	}
	return b, b.registry.Register("peer.bytes", metrics.NewFunctionalGauge(func() int64 {
		return b.server.Traffic().Total() + b.client.Traffic().Total()
	}))
}

// start returns the context that all tasks run in.
func (b *base) start() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.run("peer server", func() error { return b.server.Serve(ctx, b.peers) })
	return ctx
}

// run starts a task; an error that is not the end of the context is kept and logged.
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

// end stops all tasks, writes out spans and returns the first task error.
func (b *base) end() error {
	b.cancel()
	b.client.Close()
	_ = b.peers.Close()
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

// newIncarnation identifies one start of a process.
func newIncarnation() string { return uuid.NewString() }
