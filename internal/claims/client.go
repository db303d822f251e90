package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

const (
	// voteTimeout bounds one vote; a store that is slower counts as unreachable.
	voteTimeout = time.Second
	// maxAttemptAge is the age at which an attempt no longer takes the right to
	// send. A host that froze during Begin must not run a request long after a
	// resend of it has been answered "not run".
	maxAttemptAge = 3 * time.Second
	// maxRounds is how often an attempt that met others starts again.
	maxRounds = 4
	// initialBackoff is the longest pause before the second round; it doubles each round.
	initialBackoff = 50 * time.Millisecond
)

// Client claims keys for an entry host.
type Client struct {
	host, incarnation string
	stores            func() []Store
	transport         transport
	now               func() time.Time
	counter           atomic.Uint64
	reporter          *reporter

	mu     sync.Mutex
	active map[claim.Key]bool // keys with an attempt of this process
}

// NewClient returns the claim client of one run of an entry host.
func NewClient(host, incarnation string, stores func() []Store, c *peer.Client, now func() time.Time) *Client {
	return newClient(host, incarnation, stores, peerTransport{c: c}, now)
}

func newClient(host, incarnation string, stores func() []Store, t transport, now func() time.Time) *Client {
	return &Client{
		host: host, incarnation: incarnation, stores: stores, transport: t, now: now,
		reporter: newReporter(), active: map[claim.Key]bool{},
	}
}

// Begin asks for the right to send the request with this key. It returns
// either the right, or the recorded answer of an earlier attempt, or a
// *RefusedError. After any other result than Held nothing will be sent: votes
// that were given, or still arrive, are withdrawn in the background.
//
// "Not run" for too few reachable stores is true of this attempt only. For a
// request that the caller says it has sent before, use BeginResend.
func (c *Client) Begin(ctx context.Context, service, key string) (*HeldClaim, *claim.Answer, error) {
	return c.begin(ctx, service, key, false)
}

// BeginResend is Begin for a request that the caller has sent before without
// a definite answer. Without a majority of stores nobody can tell whether the
// earlier attempt ran, so the refusal says "unknown" then.
func (c *Client) BeginResend(ctx context.Context, service, key string) (*HeldClaim, *claim.Answer, error) {
	return c.begin(ctx, service, key, true)
}

func (c *Client) begin(ctx context.Context, service, key string, resend bool) (*HeldClaim, *claim.Answer, error) {
	k, err := claim.ParseKey(service, key)
	if err != nil {
		return nil, nil, &RefusedError{Outcome: OutcomeNotRun, Code: "claim-bad-key", Message: err.Error()}
	}
	// One attempt per key at a time: stores rely on it when they remember releases.
	if !c.reserveKey(k) {
		return nil, nil, newRefusedError(claim.InProgress)
	}
	h, answer, decision := c.runRounds(ctx, k)
	if h == nil {
		c.freeKey(k)
	}
	if h != nil || answer != nil {
		return h, answer, nil
	}
	refusal := newRefusedError(decision)
	if resend && decision == claim.NotRun {
		refusal.Outcome = OutcomeUnknown
	}
	return nil, nil, refusal
}

// Drain waits until all results and withdrawals have reached the stores, or ctx ends.
func (c *Client) Drain(ctx context.Context) error { return c.reporter.drain(ctx) }

// runRounds tries again after collisions, until one attempt wins.
func (c *Client) runRounds(ctx context.Context, k claim.Key) (*HeldClaim, *claim.Answer, claim.Decision) {
	pause, start := initialBackoff, c.now()
	for round := 1; ; round++ {
		a := claim.Attempt{Host: c.host, Incarnation: c.incarnation, Counter: c.counter.Add(1)}
		stores := c.stores()
		p := claim.NewProposer(a, storeNames(stores))
		c.collectVotes(ctx, p, k, a, stores)
		decision := p.Decision()
		if decision == claim.MaySend {
			if ctx.Err() == nil && c.now().Sub(start) < maxAttemptAge {
				return newHeld(c, k, a, stores), nil, decision
			}
			decision = claim.NotRun
		}
		withdrawn := c.withdraw(p, k, a, stores)
		if decision != claim.Split || round == maxRounds || !waitBeforeRetry(ctx, withdrawn, pause) {
			if decision == claim.Replay {
				return replay(p)
			}
			return nil, nil, decision
		}
		pause *= 2
	}
}

// replay returns the recorded answer. The request has run, so an answer that
// cannot be read is reported as not known.
func replay(p *claim.Proposer) (*HeldClaim, *claim.Answer, claim.Decision) {
	answer, err := p.Answer().Decode()
	if err != nil {
		return nil, nil, claim.ResultUnknown
	}
	return nil, answer, claim.Replay
}

func (c *Client) reserveKey(k claim.Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active[k] {
		return false
	}
	c.active[k] = true
	return true
}

func (c *Client) freeKey(k claim.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, k)
}
