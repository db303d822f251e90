package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

const (
	// offerTimeout is how long a parent waits for a child before it sends the
	// offer to the child's children itself. With three unresponsive hosts on one
	// path, an offer still meets the goal of 1 s.
	offerTimeout = 250 * time.Millisecond
	// offerBytesPerSecond is the transfer rate by which the timeout of large
	// offers is extended.
	offerBytesPerSecond = 4 << 20
)

// fanOut sends one offer to subtrees of the distribution tree.
type fanOut struct {
	client *peer.Client
	log    *log.Logger
	order  []spread.Node // the host at position p of the tree is order[p-1]
	offer  OfferRequest  // Position is set for each receiver
}

// send sends the offer to all children of position. For a child that does not
// accept it, send sends the offer to the child's children instead. It returns
// when all calls have ended.
func (f *fanOut) send(ctx context.Context, position int) {
	var wg sync.WaitGroup
	for _, child := range spread.Children(position, len(f.order)) {
		wg.Go(func() {
			if !f.sendTo(ctx, child) {
				f.send(ctx, child)
			}
		})
	}
	wg.Wait()
}

// sendTo sends the offer to the host at position. It reports whether the host
// accepted it and thereby took over forwarding to its own children.
func (f *fanOut) sendTo(ctx context.Context, position int) bool {
	node := f.order[position-1]
	offer := f.offer
	offer.Position = position
	ctx, cancel := context.WithTimeout(ctx, offerTimeout+time.Duration(len(offer.Signed))*time.Second/offerBytesPerSecond)
	defer cancel()
	_, err := peer.Call[OfferRequest, OfferReply](ctx, f.client, node.Peer, MethodOffer, offer)
	if err != nil {
		f.log.Warn("bundle offer failed", "to", node.Name, "addr", node.Peer, "err", err)
	}
	return err == nil
}
