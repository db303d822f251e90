package zone

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// idleZone is a Zone of host a0 whose Run is not called, with a manual clock.
type idleZone struct {
	*Zone
	passed atomic.Int64 // nanoseconds
}

func (s *idleZone) now() time.Time { return time.Unix(1000, s.passed.Load()) }

func (s *idleZone) pass(d time.Duration) { s.passed.Add(int64(d)) }

func newIdleZone(hosts int) *idleZone {
	s := &idleZone{}
	b := &bundle.Bundle{Zones: testZones, Services: []bundle.Service{{Name: "limits", Slots: 3}}}
	for i := range hosts {
		b.Hosts = append(b.Hosts, bundle.Host{Name: "a" + string(rune('0'+i)), AvailabilityZone: "a", Role: bundle.RoleEntry, Peer: "127.0.0.1:1"})
	}
	s.Zone = New(Config{
		Host: "a0", Incarnation: "i1", AvailabilityZone: "a", Bundle: func() *bundle.Bundle { return b },
		Server: peer.NewServer("a0"), Client: peer.NewClient("a0"), Log: log.New(io.Discard), Now: s.now,
	})
	return s
}

func (s *idleZone) grant(number, term uint64, valid time.Duration) *Permit {
	sent := s.now()
	reply := acquireReply{Status: statusGranted, Target: "10.1.0.1:80", Term: term, ValidMs: valid.Milliseconds()}
	return s.acceptGrant("a", number, sent, Request{Service: "limits", Deadline: s.now().Add(time.Minute)}, reply).permit
}

// Guards against the use of grants that are void after a freeze or a failover.
func TestVoidGrants(t *testing.T) {
	cases := []struct {
		name   string
		then   func(s *idleZone, p *Permit)
		usable bool
	}{
		{"used at once", func(*idleZone, *Permit) {}, true},
		{"used after the coordinator's lease", func(s *idleZone, _ *Permit) { s.pass(time.Second) }, false},
		{"used after the deadline", func(s *idleZone, p *Permit) { p.validUntil = s.now().Add(time.Hour); s.pass(time.Minute) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newIdleZone(1)
			p := s.grant(1, 5, time.Second)
			c.then(s, p)
			if p.Usable(s.now()) != c.usable {
				t.Fatalf("the permit's Usable is %v, want %v", !c.usable, c.usable)
			}
		})
	}
	s := newIdleZone(1)
	if s.grant(1, 5, 0) != nil {
		t.Fatal("a grant that arrived after its expiry was accepted")
	}
	if _, err := s.handleHeld(context.Background(), "a1", heldRequest{Zone: "a", Term: 6}); err != nil {
		t.Fatal(err)
	}
	if s.grant(2, 5, time.Hour) != nil {
		t.Fatal("a grant of term 5 was accepted after slots.held was answered for term 6")
	}
	if r, _ := s.handleHeld(context.Background(), "a1", heldRequest{Zone: "a", Term: 5}); r.Newer != 6 {
		t.Fatal("a coordinator of term 5 was not told of term 6")
	}
}

// Guards against permits that are missing from the report to a new coordinator
// while the target may still be working, and against permits that are reported
// after the work must have ended.
func TestHeldAnswer(t *testing.T) {
	cases := []struct {
		name  string
		then  func(s *idleZone, p *Permit)
		until time.Duration // negative: not reported
	}{
		{"unused", func(*idleZone, *Permit) {}, time.Minute + slots.StreamSilence},
		{"streaming after the deadline", func(s *idleZone, p *Permit) { p.streaming = true; s.pass(time.Hour) }, slots.StreamSilence},
		{"done", func(_ *idleZone, p *Permit) { p.Release(slots.OutcomeDone) }, -1},
		{"abandoned", func(_ *idleZone, p *Permit) { p.Release(slots.OutcomeAbandoned) }, slots.AbandonGrace},
		{"close not confirmed", func(_ *idleZone, p *Permit) { p.Release(slots.OutcomeUnconfirmed) }, time.Minute + slots.StreamSilence},
		{"abandoned, grace over", func(s *idleZone, p *Permit) {
			p.Release(slots.OutcomeAbandoned)
			s.pass(slots.AbandonGrace)
			s.permitStep(context.Background())
		}, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newIdleZone(1)
			c.then(s, s.grant(1, 5, time.Hour))
			r, _ := s.handleHeld(context.Background(), "a1", heldRequest{Zone: "a", Term: 6})
			switch {
			case c.until < 0 && len(r.Permits) > 0:
				t.Fatalf("reported %+v, want no permit", r.Permits)
			case c.until >= 0 && (len(r.Permits) != 1 || milliseconds(r.Permits[0].UntilMs) != c.until):
				t.Fatalf("reported %+v, want one until %v", r.Permits, c.until)
			}
		})
	}
}

// Guards against streams that continue after their slot may have been granted to
// another request, and against streams ended although their renewals are
// confirmed.
func TestLostStreams(t *testing.T) {
	lost := func(p *Permit) bool {
		select {
		case <-p.Lost():
			return true
		default:
			return false
		}
	}
	s := newIdleZone(1)
	p := s.grant(1, 5, time.Hour)
	p.streaming = true
	step := func(d time.Duration, r renewReply) {
		s.pass(d)
		s.confirm(s.now(), []uint64{1}, r)
		s.permitStep(context.Background())
	}
	step(time.Minute+slots.LostAfter-1, renewReply{})
	step(slots.LostAfter-1, renewReply{})
	step(slots.LostAfter-1, renewReply{Deferred: true})
	if lost(p) {
		t.Fatal("a stream whose renewals are confirmed was ended")
	}
	step(1, renewReply{Deferred: true}) // a deferred reply confirms nothing
	if !lost(p) {
		t.Fatal("a stream without confirmed renewals was not ended")
	}
	p = s.grant(2, 5, time.Hour)
	p.streaming = true
	s.confirm(s.now(), []uint64{2}, renewReply{Unknown: []uint64{2}})
	if !lost(p) {
		t.Fatal("a stream whose permit the coordinator does not know was not ended")
	}
}

// Guards against accepting the announcement of a target of another zone.
func TestAnnounceChecks(t *testing.T) {
	for name, c := range map[string]struct{ zone, address, code string }{
		"other zone":              {"b", "10.1.0.1:80", CodeWrongZone},
		"address of another zone": {"a", "10.2.0.1:80", CodeAddress},
		"no address":              {"a", "target-1:80", CodeAddress},
		"no coordinator":          {"a", "10.1.0.1:80", CodeUnavailable},
	} {
		err := newIdleZone(1).Announce(context.Background(), Announcement{Service: "limits", AvailabilityZone: c.zone, Address: c.address})
		var refused *AnnounceError
		if !errors.As(err, &refused) || refused.Code != c.code {
			t.Errorf("%s: got %v, want %s", name, err, c.code)
		}
	}
}

// Guards against summaries, and so heartbeats, that grow with the number of hosts
// in other zones.
func TestSummaryDoesNotGrowWithHosts(t *testing.T) {
	size := func(hosts int) int {
		s := newIdleZone(hosts)
		b, err := cbor.Marshal(s.summarize(newCoordinator(s.now(), 1, s.layout().policy("a"), nil), s.now()))
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	if few, many := size(2), size(60); few != many {
		t.Fatalf("a summary takes %d bytes for 2 hosts and %d for 60, want the same", few, many)
	}
}
