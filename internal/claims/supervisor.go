package claims

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/wait"
)

// reopenInterval is the pause before the log of a failed store is opened again.
const reopenInterval = time.Second

// ClosingLog is a Log that can be closed.
type ClosingLog interface {
	Log
	Close() error
}

// Supervisor runs a claim store, and restores it again from its log after the log has
// failed, as on a full disk: the store in memory is ahead of the log then. It is safe
// for concurrent use.
type Supervisor struct {
	options StoreOptions
	open    func() (ClosingLog, *Recovered, error)
	server  *peer.Server

	mu      sync.Mutex
	service *StoreService
	log     ClosingLog
}

// NewSupervisor opens the store and registers its RPC methods with the server. o has no Log
// and no Recovered; open returns them. The error is that of open or of the restoration.
func NewSupervisor(o StoreOptions, open func() (ClosingLog, *Recovered, error), server *peer.Server) (*Supervisor, error) {
	s := &Supervisor{options: o, open: open, server: server}
	return s, s.reopen()
}

func (s *Supervisor) reopen() error {
	log, recovered, err := s.open()
	if err != nil {
		return err
	}
	o := s.options
	o.Log, o.Recovered = log, recovered
	service, err := NewStoreService(o)
	if err != nil {
		_ = log.Close()
		return err
	}
	service.Register(s.server)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service, s.log = service, log
	s.options.Founding = false // a folder that is empty at a later opening was lost
	return nil
}

// Run keeps the store running until ctx ends, then closes its log.
func (s *Supervisor) Run(ctx context.Context) error {
	for {
		service, log := s.current()
		err := service.Run(ctx)
		closeErr := log.Close()
		if ctx.Err() != nil {
			return closeErr
		}
		s.options.Logger.Error("claim store failed, its log is opened again", "store", s.options.Name, "err", err)
		if err := s.reopenUntil(ctx); err != nil {
			return nil // ctx has ended while no log was open
		}
	}
}

// reopenUntil opens the store again, and tries until it succeeds or ctx ends.
func (s *Supervisor) reopenUntil(ctx context.Context) error {
	for {
		if err := wait.For(ctx, reopenInterval); err != nil {
			return err
		}
		err := s.reopen()
		if err == nil {
			s.options.Logger.Info("claim store opened again", "store", s.options.Name)
			return nil
		}
		s.options.Logger.Error("claim store cannot be opened", "store", s.options.Name, "err", err)
	}
}

// Ready reports whether the store votes for all keys.
func (s *Supervisor) Ready() bool {
	service, _ := s.current()
	return service.Ready()
}

func (s *Supervisor) current() (*StoreService, ClosingLog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service, s.log
}
