package links

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/link"
)

// ErrNotLeader is returned for lease requests to a control host that does not lead.
var ErrNotLeader = errors.New("this control host does not lead")

// Leadership tells since when this host has led, and until when no other host can lead.
type Leadership func() (since, until time.Time, leads bool)

// AllocatorService leases link shares while its host leads.
type AllocatorService struct {
	links  func() []Link
	leader Leadership
	now    func() time.Time

	mu     sync.Mutex
	since  time.Time
	routes map[link.Route]*link.Allocator
}

// NewAllocatorService returns the service of a control host.
func NewAllocatorService(links func() []Link, leader Leadership, now func() time.Time) *AllocatorService {
	return &AllocatorService{links: links, leader: leader, now: now}
}

// Register serves link.lease.
func (s *AllocatorService) Register(srv *peer.Server) { peer.Register(srv, "link.lease", s.lease) }

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

// refresh follows changes of the leadership and of the links.
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
