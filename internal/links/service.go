package links

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/link"
)

// ErrNotLeader is returned for a lease request to a control host that is not the
// leader or whose quorum lease has expired.
var ErrNotLeader = errors.New("this control host does not lead")

// Leadership reports whether this host leads, since when it has led, and until
// when no other host can become leader.
type Leadership func() (since, until time.Time, leads bool)

// AllocatorService leases link shares to entry hosts while its host leads. It is
// safe for concurrent use.
type AllocatorService struct {
	links  func() []Link
	leader Leadership
	now    func() time.Time

	mu     sync.Mutex
	since  time.Time // start of the leadership that routes belongs to
	routes map[link.Route]*link.Allocator
}

// NewAllocatorService returns the lease service of a control host. links returns
// the current links.
func NewAllocatorService(links func() []Link, leader Leadership, now func() time.Time) *AllocatorService {
	return &AllocatorService{links: links, leader: leader, now: now}
}

// Register registers the RPC method link.lease with srv.
func (s *AllocatorService) Register(srv *peer.Server) { peer.Register(srv, "link.lease", s.lease) }

// lease handles a lease request. Routes without a link get a share of 0.
func (s *AllocatorService) lease(_ context.Context, _ string, req link.LeaseRequest) (link.LeaseReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, until, leads := s.leader()
	now := s.now()
	if !leads || !now.Before(until) {
		return link.LeaseReply{}, ErrNotLeader
	}
	s.refresh(since)
	reply := link.LeaseReply{Shares: make([]float64, len(req.Demands))}
	for i, ask := range req.Demands {
		if a, ok := s.routes[ask.Route]; ok {
			reply.Shares[i] = a.Ask(now, req.Host, ask.Demand)
		}
	}
	return reply, nil
}

// refresh discards the allocators of an earlier leadership, adds allocators for
// new links and updates the caps of known ones. The caller holds mu.
func (s *AllocatorService) refresh(since time.Time) {
	if !since.Equal(s.since) || s.routes == nil {
		s.since, s.routes = since, map[link.Route]*link.Allocator{}
	}
	for _, l := range s.links() {
		for _, r := range l.routes() {
			if a, ok := s.routes[r]; ok {
				a.SetCap(l.BytesPerSecond)
			} else {
				s.routes[r] = link.NewAllocator(l.BytesPerSecond, since)
			}
		}
	}
}
