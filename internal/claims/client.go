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
	// voteTimeout bounds one vote request; a slower store counts as unreachable.
	voteTimeout = time.Second
	// maxAttemptAge is the age from which an attempt may no longer send, even with a
	// majority. A host that froze during Begin must not run a request long after a
	// resend of it has been answered "not run".
	maxAttemptAge = 3 * time.Second
	// maxRounds is the number of rounds that Begin makes when votes are split.
	maxRounds = 4
	// initialBackoff is the longest pause before the second round; it doubles with each round.
	initialBackoff = 50 * time.Millisecond
)

// Client claims keys at the stores for an entry host.
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

// NewClient returns the claim client of an entry host. The incarnation identifies
// one run of the host.
func NewClient(host, incarnation string, stores func() []Store, c *peer.Client, now func() time.Time) *Client {
	return newClient(host, incarnation, stores, peerTransport{c: c}, now)
}

func newClient(host, incarnation string, stores func() []Store, t transport, now func() time.Time) *Client {
	return &Client{
		host: host, incarnation: incarnation, stores: stores, transport: t, now: now,
		reporter: newReporter(), active: map[claim.Key]bool{},
	}
}

// Begin requests the right to send the request with this key. It returns
// either the claim, or the recorded answer of an earlier attempt, or a
// *RefusedError. Without a HeldClaim the attempt must not send: its votes,
// including those granted to requests still in flight, are withdrawn in the background.
//
// "Not run" because of too few reachable stores applies to this attempt only.
// For a request that the caller has sent before, use BeginResend.
func (c *Client) Begin(ctx context.Context, service, key string) (*HeldClaim, *claim.Answer, error) {
	return c.begin(ctx, service, key, false)
}

// BeginResend is Begin for a request that the caller has sent before without
// a definite answer. Without a majority of stores it is not known whether the
// earlier attempt ran, so the outcome of the refusal is then "unknown".
func (c *Client) BeginResend(ctx context.Context, service, key string) (*HeldClaim, *claim.Answer, error) {
	return c.begin(ctx, service, key, true)
}

func (c *Client) begin(ctx context.Context, service, key string, resend bool) (*HeldClaim, *claim.Answer, error) {
	k, err := claim.ParseKey(service, key)
	if err != nil {
		return nil, nil, &RefusedError{Outcome: OutcomeNotRun, Code: "claim-bad-key", Message: err.Error()}
	}
	// Only one attempt per key at a time: stores rely on it, as they record only
	// the highest released counter of a process.
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

// Drain waits until all results and releases have been delivered to the stores
// or dropped, or ctx ends.
func (c *Client) Drain(ctx context.Context) error { return c.reporter.drain(ctx) }

// runRounds starts a new attempt after each split vote, until one is decided
// otherwise, the rounds are used up, or ctx ends.
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

// replay returns the recorded answer. The request has run, so a recorded answer
// that cannot be decoded gives ResultUnknown.
func replay(p *claim.Proposer) (*HeldClaim, *claim.Answer, claim.Decision) {
	answer, err := p.Answer().Decode()
	if err != nil {
		return nil, nil, claim.ResultUnknown
	}
	return nil, answer, claim.Replay
}

// reserveKey marks the key as in use by an attempt of this process. It returns
// false if another attempt uses it.
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
