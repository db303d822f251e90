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
	// offerTimeout is how long a parent waits before it serves the children of a
	// silent child itself. Three silent hosts on one path still leave time for
	// the goal of 1 s.
	offerTimeout = 250 * time.Millisecond
	// offerBytesPerSecond extends the timeout of large offers.
	offerBytesPerSecond = 4 << 20
)

// fanOut sends one offer to parts of the tree.
type fanOut struct {
	client *peer.Client
	log    *log.Logger
	order  []spread.Node
	offer  OfferRequest // without position
}

// send offers to all children of position and returns when they have answered
// or their children were served in their place.
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

// sendTo offers to one receiver and reports whether it will serve its children.
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
