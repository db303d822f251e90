package rollout

import (
	"context"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// TestWaitDuringOffers guards against an offer that arrives while its host stops
// and is still being forwarded after Wait has returned. The race detector reports
// the unordered use of the wait group.
func TestWaitDuringOffers(t *testing.T) {
	Convey("Offers handled while the context ends are forwarded before Wait returns or not at all", t, func() {
		b := example(t, "demo.toml")
		signed := versions(t, b, 1)[0]
		holder := NewHolder(operatorKeys)
		_, err := holder.Put(signed)
		So(err, ShouldBeNil)
		client := peer.NewClient("host")
		Reset(client.Close)
		lastPosition := len(spread.Order(holder.Current().Bundle)) // a leaf of the tree, so that nothing is sent
		for range 2000 {
			ctx, cancel := context.WithCancel(context.Background())
			r := NewReceiver(ctx, peer.NewServer("host"), client, "127.0.0.1:1", holder, nil, discardLogger)
			var offers sync.WaitGroup
			offers.Go(func() { r.forward(1, OfferRequest{Position: lastPosition}) })
			cancel()
			r.Wait()
			offers.Wait()
		}
	})
}
