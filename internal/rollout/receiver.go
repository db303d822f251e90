package rollout

import (
	"context"
	"errors"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// Receiver handles the offers to an entry host: it puts the offered version in
// force and forwards the offer to the host's children in the tree.
type Receiver struct {
	ctx      context.Context // of forwarding
	self     string          // own peer address
	holder   *Holder
	client   *peer.Client
	reporter *Reporter
	log      *log.Logger

	mu        sync.Mutex
	forwarded uint64 // newest version forwarded
	stopped   bool   // set by Wait
	wg        sync.WaitGroup
}

// NewReceiver returns a receiver and registers its bundle.offer method on s.
// Forwarding ends with ctx.
func NewReceiver(ctx context.Context, s *peer.Server, c *peer.Client, self string, h *Holder, r *Reporter, l *log.Logger) *Receiver {
	receiver := &Receiver{ctx: ctx, self: self, holder: h, client: c, reporter: r, log: l}
	peer.Register(s, MethodOffer, receiver.offer)
	return receiver
}

// Wait ends forwarding and returns when no offer is being forwarded. Call it after ctx
// has ended. Handlers of offers may still run, because the peer server does not wait
// for its handlers; they forward nothing anymore.
func (r *Receiver) Wait() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.wg.Wait()
}

// offer handles bundle.offer. If versions before the offered one are missing, it
// fetches them from the sender.
func (r *Receiver) offer(ctx context.Context, from string, req OfferRequest) (OfferReply, error) {
	signed, err := bundle.DecodeSigned(req.Signed)
	if err != nil {
		return OfferReply{}, err
	}
	changed, err := r.holder.Put(signed)
	if errors.Is(err, bundle.ErrGap) {
		r.log.Info("fetching missed bundle versions", "offered", signed.Header.Version, "from", from)
		_, err = fetch(ctx, r.client, r.holder, req.Sender)
		changed = true
	}
	if err != nil {
		r.log.Error("bundle offer refused", "version", signed.Header.Version, "from", from, "err", err)
		return OfferReply{}, err
	}
	r.reporter.SetLeader(req.Leader)
	if changed {
		r.reporter.Report()
	}
	r.forward(signed.Header.Version, req)
	return OfferReply{Version: r.holder.Current().Version}, nil
}

// forward sends an offer to the children of this host in the background. It
// forwards each version once, and none that is not in force on this host.
func (r *Receiver) forward(version uint64, req OfferRequest) {
	active := r.holder.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= r.forwarded || active.Version != version || r.stopped {
		return
	}
	r.forwarded = version
	f := &fanOut{client: r.client, log: r.log, order: spread.Order(active.Bundle),
		offer: OfferRequest{Signed: req.Signed, Sender: r.self, Leader: req.Leader}}
	r.wg.Go(func() { f.send(r.ctx, req.Position) })
}
