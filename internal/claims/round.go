package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// collectVotes requests the votes of all stores and passes the replies to the
// proposer until it decides.
func (c *Client) collectVotes(ctx context.Context, p *claim.Proposer, k claim.Key, a claim.Attempt, stores []Store) {
	type result struct {
		store string
		reply claim.VoteReply
		err   error
	}
	// Vote requests continue after the decision, so that as many stores as possible know the owner.
	voteCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voteTimeout)
	results := make(chan result, len(stores))
	var wg sync.WaitGroup
	for _, s := range stores {
		wg.Go(func() {
			reply, err := c.transport.vote(voteCtx, s, claim.VoteRequest{Key: k, Attempt: a})
			results <- result{store: s.Name, reply: reply, err: err}
		})
	}
	go func() { wg.Wait(); cancel() }()
	for range stores {
		select {
		case r := <-results:
			if r.err != nil || r.reply.Store != r.store {
				p.Fail(r.store)
			} else {
				p.Reply(r.reply)
			}
		case <-ctx.Done():
			p.GiveUp()
		}
		if p.Decision() != claim.Waiting {
			return
		}
	}
	p.GiveUp()
}

// withdraw releases an attempt that will never send. The channel is closed once
// the release has been tried at every store that may hold a vote.
func (c *Client) withdraw(p *claim.Proposer, k claim.Key, a claim.Attempt, stores []Store) <-chan struct{} {
	var to []Store
	for _, name := range p.StoresToRelease() {
		for _, s := range stores {
			if s.Name == name {
				to = append(to, s)
			}
		}
	}
	return c.release(claim.ReleaseRequest{Key: k, Attempt: a}, to)
}

func (c *Client) release(req claim.ReleaseRequest, to []Store) <-chan struct{} {
	return c.reporter.send(to, reportBytes, func(ctx context.Context, s Store) error {
		return c.transport.release(ctx, s, req)
	})
}

// waitBeforeRetry waits for the withdrawal and then for a random time of up to
// pause. It returns false if ctx ends first.
func waitBeforeRetry(ctx context.Context, withdrawn <-chan struct{}, pause time.Duration) bool {
	select {
	case <-withdrawn:
	case <-ctx.Done():
		return false
	}
	select {
	case <-time.After(rand.N(pause)):
		return true
	case <-ctx.Done():
		return false
	}
}

func storeNames(stores []Store) []string {
	out := make([]string, len(stores))
	for i, s := range stores {
		out[i] = s.Name
	}
	return out
}
