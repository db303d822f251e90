package replica

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/wait"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
)

// reopenInterval is the pause before a failed member is opened again.
const reopenInterval = time.Second

// Supervisor runs this host's member of a group, and opens it again from its folder
// after a failure, such as a full disk. The state machine lives on meanwhile and gets
// each entry once. The methods are safe for concurrent use.
type Supervisor struct {
	config  Config
	options wal.Options

	mu    sync.Mutex
	group *Group // the last one that was opened, nil before the first
}

// NewSupervisor returns a supervisor that has not opened the member yet.
func NewSupervisor(c Config) *Supervisor {
	return newSupervisor(c, wal.Options{Folder: c.Folder, Host: c.Host})
}

func newSupervisor(c Config, o wal.Options) *Supervisor { return &Supervisor{config: c, options: o} }

// Open opens the member once. Run does so as well; callers that report an unusable folder
// at their start call Open before.
func (s *Supervisor) Open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var applied uint64
	if s.group != nil {
		applied = s.group.applier.index()
	}
	g, err := start(s.config, s.options, applied)
	if err == nil {
		s.group = g
	}
	return err
}

// Run keeps the member open until ctx ends, and returns once it is closed.
func (s *Supervisor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		g := s.Current()
		if g == nil {
			if err := s.Open(); err != nil {
				s.config.Log.Error("agreement cannot start", "err", err)
				_ = wait.For(ctx, reopenInterval) // the loop checks ctx itself
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-g.quit:
		}
		g.Stop()
		_ = wait.For(ctx, reopenInterval)
	}
	if g := s.Current(); g != nil {
		g.Stop()
	}
}

// Current returns the open member, or nil while there is none.
func (s *Supervisor) Current() *Group {
	g := s.last()
	if g == nil || g.stopped() {
		return nil
	}
	return g
}

func (s *Supervisor) last() *Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group
}

// Propose is Group.Propose of the open member, ErrStopped while there is none.
func (s *Supervisor) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if g := s.Current(); g != nil {
		return g.Propose(ctx, command)
	}
	return nil, ErrStopped
}

// Read is Group.Read of the open member, ErrStopped while there is none.
func (s *Supervisor) Read(ctx context.Context) error {
	if g := s.Current(); g != nil {
		return g.Read(ctx)
	}
	return ErrStopped
}

// Status returns the state of the member that was opened last; its field Err is set while
// the member has failed.
func (s *Supervisor) Status() Status {
	if g := s.last(); g != nil {
		return g.Status()
	}
	return Status{Host: s.config.Host, Err: ErrStopped}
}
