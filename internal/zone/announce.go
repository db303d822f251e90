package zone

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// Announcement is a target's report of its identity, state and capacity, received
// over HTTP.
type Announcement struct {
	Service          string
	Address          string // IP:port
	AvailabilityZone string
	Incarnation      uint64
	Sequence         uint64
	Slots            int
	Connections      int
	Leaving          bool
	Load             float64 // share of the slots in use, as the target sees it
}

// Announce forwards an announcement to the zone's coordinator. It returns an
// *AnnounceError if the announcement is rejected or no coordinator answers.
func (z *Zone) Announce(ctx context.Context, a Announcement) error {
	if err := z.checkAddress(a); err != nil {
		return err
	}
	request := announceRequest{
		Service: a.Service, Address: a.Address, Incarnation: a.Incarnation, Sequence: a.Sequence,
		Slots: a.Slots, Connections: a.Connections, Leaving: a.Leaving, Load: a.Load,
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range 2 { // the first coordinator asked may have just lost its lease
		host := z.coordinatorHint()
		if host == "" {
			break
		}
		reply, err := ask(ctx, z, host, "target.announce", request, z.handleAnnounce)
		switch {
		case err != nil || reply.NotCoordinator:
			z.directory.forget(z.cfg.AvailabilityZone, host)
		case reply.Code != "":
			return &AnnounceError{Code: reply.Code, Message: reply.Message}
		default:
			return nil
		}
	}
	return unavailable(z.cfg.AvailabilityZone)
}

// checkAddress rejects announcements for another zone and addresses outside the
// zone's target prefixes.
func (z *Zone) checkAddress(a Announcement) error {
	own := z.cfg.AvailabilityZone
	if a.AvailabilityZone != own {
		return &AnnounceError{Code: CodeWrongZone,
			Message: fmt.Sprintf("target %s announces zone %q, this host serves zone %q", a.Address, a.AvailabilityZone, own)}
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err == nil {
		for _, p := range z.layout().prefixes[own] {
			if p.Contains(address.Addr()) {
				return nil
			}
		}
	}
	return &AnnounceError{Code: CodeAddress,
		Message: fmt.Sprintf("address %q is not within the target prefixes of zone %q", a.Address, own)}
}

func (z *Zone) handleAnnounce(_ context.Context, _ string, r announceRequest) (announceReply, error) {
	c, _ := z.lease()
	if c == nil {
		return announceReply{NotCoordinator: true}, nil
	}
	a := slots.Announcement{
		Service: r.Service, Address: r.Address, Incarnation: r.Incarnation, Sequence: r.Sequence,
		Slots: r.Slots, Connections: r.Connections, State: slots.Ready, Load: r.Load,
	}
	if r.Leaving {
		a.State = slots.Leaving
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.pool.Announce(z.cfg.Now(), a)
	c.deliver()
	var refused *slots.AnnounceError
	if errors.As(err, &refused) {
		return announceReply{Code: refused.Code, Message: refused.Message}, nil
	}
	return announceReply{}, err
}

// unavailable returns the error for announcements while no coordinator answers.
func unavailable(zone string) error {
	return &AnnounceError{Code: CodeUnavailable, Message: fmt.Sprintf("zone %q has no coordinator at the moment", zone)}
}
