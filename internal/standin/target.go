// Package standin implements a stand-in target for tests and the demo. It follows
// the target protocol and can be switched into fault modes.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Target is a running stand-in target.
type Target struct {
	config         Config
	address        string
	server         *http.Server
	counts         *counts
	worker         *worker
	announcer      *announcer
	stopAnnouncing context.CancelFunc // ends the announcements
	workCtx        context.Context    // context of work that ignores its caller; its end stops all work
	cancelWork     context.CancelFunc
	goroutines     sync.WaitGroup

	mu    sync.Mutex
	fault Fault
}

// Start starts a target that listens for requests and announces itself to the
// entry hosts. End it with Leave or Kill.
func Start(c Config) (*Target, error) {
	c = c.withDefaults(time.Now())
	if err := errors.Join(c.check(), c.Fault.check()); err != nil {
		return nil, fmt.Errorf("stand-in target %s: %w", c.Address, err)
	}
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, fmt.Errorf("stand-in target: %w", err)
	}
	if c.Wrap != nil {
		listener = c.Wrap(listener)
	}
	t := &Target{config: c, address: listener.Addr().String(), counts: newCounts(), fault: c.Fault}
	t.worker = newWorker(c.Slots, c.MeanWork, c.Seed)
	t.announcer = newAnnouncer(t)
	t.server = &http.Server{
		Handler:           t.handler(),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       c.IdleTimeout,
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.stopAnnouncing = cancel
	t.workCtx, t.cancelWork = context.WithCancel(context.Background())
	t.goroutines.Go(func() { _ = t.server.Serve(listener) })
	t.goroutines.Go(func() { t.announcer.run(ctx) })
	return t, nil
}

// Address returns the IP:port that the target listens on.
func (t *Target) Address() string { return t.address }

// Service returns the service that the target belongs to.
func (t *Target) Service() string { return t.config.Service }

// Stats returns a copy of the target's counters.
func (t *Target) Stats() Stats { return t.counts.snapshot() }

// SetFault replaces the fault modes in force. It returns an error and changes
// nothing if a value of f is invalid.
func (t *Target) SetFault(f Fault) error {
	if err := f.check(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
	return nil
}

// Fault returns the fault modes in force.
func (t *Target) Fault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

// takeFault returns the fault modes for one request. If Times limits them, it
// counts the request; after the last one only Load and Freeze stay in force.
func (t *Target) takeFault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.fault
	if f.Times > 0 && f.affectsResponses() {
		t.fault.Times--
		if t.fault.Times == 0 {
			t.fault = Fault{Load: f.Load, Freeze: f.Freeze}
		}
	}
	return f
}

// Leave shuts the target down gracefully: it announces that the target is leaving,
// accepts work during the grace time and finishes the requests in flight. When ctx
// ends first, it closes the remaining connections and returns the context's error.
func (t *Target) Leave(ctx context.Context) error {
	t.stopAnnouncing()
	t.announcer.leave(ctx)
	pause(ctx, t.config.LeaveGrace)
	err := t.server.Shutdown(ctx)
	if err != nil {
		t.server.Close()
	}
	t.cancelWork()
	t.goroutines.Wait()
	return err
}

// Kill closes all connections at once without announcing it, as in a crash.
func (t *Target) Kill() {
	t.stopAnnouncing()
	t.cancelWork()
	t.server.Close()
	t.goroutines.Wait()
}
