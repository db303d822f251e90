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

// Receiver takes offers on an entry host, puts them in force and passes them on.
type Receiver struct {
	ctx      context.Context
	self     string // own peer address
	holder   *Holder
	client   *peer.Client
	reporter *Reporter
	log      *log.Logger

	mu        sync.Mutex
	forwarded uint64 // newest version passed on
	wg        sync.WaitGroup
}

// NewReceiver registers bundle.offer. Forwarding ends with ctx.
func NewReceiver(ctx context.Context, s *peer.Server, c *peer.Client, self string, h *Holder, r *Reporter, l *log.Logger) *Receiver {
	receiver := &Receiver{ctx: ctx, self: self, holder: h, client: c, reporter: r, log: l}
	peer.Register(s, MethodOffer, receiver.offer)
	return receiver
}

// Wait returns when no offer is being passed on. Call it after the end of ctx.
func (r *Receiver) Wait() { r.wg.Wait() }

func (r *Receiver) offer(ctx context.Context, from string, req OfferRequest) (OfferReply, error) {
	signed, err := bundle.DecodeSigned(req.Signed)
	if err != nil {
		return OfferReply{}, err
	}
	changed, err := r.holder.Put(signed)
	if errors.Is(err, bundle.ErrGap) {
		r.log.Info("fetch missed bundle versions", "offered", signed.Header.Version, "from", from)
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

// forward passes an offer on once, unless a newer version has been passed on.
func (r *Receiver) forward(version uint64, req OfferRequest) {
	active := r.holder.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= r.forwarded || active.Version != version || r.ctx.Err() != nil {
		return
	}
	r.forwarded = version
	f := &fanOut{client: r.client, log: r.log, order: spread.Order(active.Bundle),
		offer: OfferRequest{Signed: req.Signed, Sender: r.self, Leader: req.Leader}}
	r.wg.Go(func() { f.send(r.ctx, req.Position) })
}
