package entry

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// fakePermits grants the targets in turn and records the outcomes of released permits.
type fakePermits struct {
	mu             sync.Mutex
	targets        []string
	next           int
	err            error // error that Acquire returns, if set
	region         string
	unusableGrants int // number of permits still to be granted as unusable
	started        int
	released       []slots.Outcome
	freed          chan slots.Outcome
}

func (p *fakePermits) Acquire(_ context.Context, r PermitRequest) (Permit, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return nil, p.err
	}
	for range p.targets {
		target := p.targets[p.next%len(p.targets)]
		p.next++
		if !slices.Contains(r.Exclude, target) {
			p.unusableGrants--
			return &fakePermit{p: p, target: target, unusable: p.unusableGrants >= 0}, nil
		}
	}
	return nil, &BusyError{RetryAfter: 1500 * time.Millisecond}
}

type fakePermit struct {
	p        *fakePermits
	target   string
	unusable bool
	ended    atomic.Bool
}

func (p *fakePermit) Target() string        { return p.target }
func (p *fakePermit) Zone() string          { return "cork-a" }
func (p *fakePermit) Region() string        { return p.p.region }
func (p *fakePermit) Usable(time.Time) bool { return !p.unusable }

func (p *fakePermit) Started() {
	p.p.mu.Lock()
	defer p.p.mu.Unlock()
	p.p.started++
}

func (p *fakePermit) Release(o slots.Outcome) {
	if p.ended.Swap(true) {
		panic("permit released twice")
	}
	p.p.mu.Lock()
	p.p.released = append(p.p.released, o)
	p.p.mu.Unlock()
	p.p.freed <- o
}

// fakeClaims keeps the state of all claims in memory.
type fakeClaims struct {
	mu       sync.Mutex
	err      error
	state    map[string]string // key to held, released, unknown or done
	answers  map[string]*claim.Answer
	finished chan string
}

func (c *fakeClaims) Begin(_ context.Context, service, key string) (Claim, *claim.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, nil, c.err
	}
	if a := c.answers[key]; a != nil {
		return nil, a, nil
	}
	switch c.state[key] {
	case "held":
		return nil, nil, &ClaimRefusedError{Outcome: OutcomeInProgress, Code: "in_progress", RetryAfter: time.Second}
	case "unknown":
		return nil, nil, &ClaimRefusedError{Outcome: OutcomeUnknown, Code: "claim_unknown"}
	}
	c.state[key] = "held"
	return &fakeClaim{c: c, key: key}, nil, nil
}

func (c *fakeClaims) of(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state[key]
}

type fakeClaim struct {
	c   *fakeClaims
	key string
}

func (c *fakeClaim) end(state string, a *claim.Answer) {
	c.c.mu.Lock()
	if c.c.state[c.key] != "held" {
		panic("claim ended twice")
	}
	c.c.state[c.key] = state
	c.c.answers[c.key] = a
	c.c.mu.Unlock()
	c.c.finished <- state
}

func (c *fakeClaim) Finish(a claim.Answer) { c.end("done", &a) }
func (c *fakeClaim) Release()              { c.end("released", nil) }
func (c *fakeClaim) Unknown()              { c.end("unknown", nil) }

// fakeLinks counts the bytes that it granted. If limit is above 0, it grants no
// more inbound bytes than that.
type fakeLinks struct {
	mu      sync.Mutex
	granted map[traffic.Direction]int
	limit   int
}

func (l *fakeLinks) Wait(ctx context.Context, _ string, d traffic.Direction, _ traffic.Class, n int) error {
	if n > fakeChunk {
		panic("Wait was called for more bytes than one chunk")
	}
	l.mu.Lock()
	if l.limit > 0 && d == traffic.Inbound && l.granted[d]+n > l.limit {
		l.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	l.granted[d] += n
	l.mu.Unlock()
	return nil
}

// Chunk returns less than maxChunk, as for a small link share.
func (l *fakeLinks) Chunk(string, traffic.Direction) int { return fakeChunk }

const fakeChunk = 1500

func (l *fakeLinks) bytes(d traffic.Direction) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted[d]
}

// fakeDirectory knows one service, "bookings".
type fakeDirectory struct{ service bundle.Service }

func (d fakeDirectory) Service(name string) (bundle.Service, bool) {
	return d.service, name == d.service.Name
}
func (d fakeDirectory) EntryHosts() int { return 24 }
func (d fakeDirectory) Region() string  { return "Munster" }

type fakeLookups struct{}

func (fakeLookups) Lookup(caller netip.Addr, service string) (LookupAnswer, bool) {
	return LookupAnswer{Service: service, Zone: "cork-a", LifetimeMs: 5000, Version: 7,
		Hosts: []LookupHost{{Name: "cork-a-1", Address: caller.String() + ":80", Zone: "cork-a"}}}, service == "bookings"
}

// fakeTargets refuses targets of other zones.
type fakeTargets struct {
	mu  sync.Mutex
	got []Announcement
}

func (t *fakeTargets) Announce(_ context.Context, a Announcement) error {
	if a.Zone == "lost" {
		return errors.New("no coordinator")
	}
	if a.Zone != "cork-a" {
		return &RefusedTargetError{Reason: "target belongs to another zone"}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.got = append(t.got, a)
	return nil
}
