package claims

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// HeldClaim is the right of one attempt to send its request once, renewed until it
// ends. The first call of Finish, Release or Unknown ends it; later calls do nothing.
type HeldClaim struct {
	client  *Client
	key     claim.Key
	attempt claim.Attempt
	stores  []Store

	mu    sync.Mutex
	ended bool
	renew *time.Timer
}

func newHeld(c *Client, k claim.Key, a claim.Attempt, stores []Store) *HeldClaim {
	h := &HeldClaim{client: c, key: k, attempt: a, stores: stores}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renew = time.AfterFunc(claim.RenewInterval, func() { h.renewOnce() })
	return h
}

// Finish records the answer at all stores in the background. A body larger than
// claim.MaxBody is left out.
func (h *HeldClaim) Finish(a claim.Answer) {
	if len(a.Body) > claim.MaxBody {
		a.Body, a.BodyDropped = nil, true
	}
	answer, err := a.Encode()
	if err != nil {
		answer = nil // record an unknown result rather than none
	}
	h.report(answer)
}

// Unknown records that the request was sent and its result is not known.
func (h *HeldClaim) Unknown() { h.report(nil) }

// Release gives the attempt up permanently: nothing was sent, or the target
// refused the request in the documented way. The key may be used again after
// claim.HoldDown, when no earlier send of it can still be in flight.
func (h *HeldClaim) Release() {
	if h.end() {
		h.client.release(claim.ReleaseRequest{Key: h.key, Attempt: h.attempt, HoldDown: true}, h.stores)
		h.client.freeKey(h.key)
	}
}

// report ends the claim and sends its result to all stores; a nil answer means
// that the result is not known.
func (h *HeldClaim) report(answer claim.Encoded) {
	if !h.end() {
		return
	}
	req := claim.FinishRequest{Key: h.key, Attempt: h.attempt, Answer: answer}
	h.client.reporter.send(h.stores, reportBytes+len(answer), func(ctx context.Context, s Store) error {
		return h.client.transport.finish(ctx, s, req)
	})
	h.client.freeKey(h.key)
}

// end stops the renewals. It returns false if the claim has already ended.
func (h *HeldClaim) end() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	h.ended = true
	h.renew.Stop()
	return true
}

// renewOnce tells the stores that the owner is still active and schedules the
// next renewal. The returned group is done when all stores have replied or failed.
func (h *HeldClaim) renewOnce() *sync.WaitGroup {
	var wg sync.WaitGroup
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return &wg
	}
	ctx, cancel := context.WithTimeout(context.Background(), claim.RenewInterval)
	for _, s := range h.stores {
		wg.Go(func() {
			// Errors are ignored: the next renewal follows within OwnerTimeout.
			_, _ = h.client.transport.read(ctx, s, claim.ReadRequest{Key: h.key, Renew: &h.attempt})
		})
	}
	go func() { wg.Wait(); cancel() }()
	h.renew.Reset(claim.RenewInterval)
	return &wg
}
