package core

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// ErrOutOfContact says that this host is cut off from the majority: what it is
// told may not reach all entry hosts.
var ErrOutOfContact = errors.New("this control host is not in contact with a majority")

// Announce takes what a target says of itself. It returns once every entry
// host is bound by it: a departure is part of the desired state by then.
func (n *Node) Announce(ctx context.Context, a roster.Announcement) error {
	n.count("announcements")
	now := n.now()
	fresh := n.fresh()
	leaving := a.Leaving
	news := n.targets.Note(now, roster.Report{Announcement: a})
	if news {
		n.changed.notify()
		n.config.Log.Info("target announced", "target", a.Name, "service", a.Service, "address", a.Address, "zone", a.Zone,
			"life", a.Life, "sequence", a.Sequence, "leaving", leaving, "cold", a.ColdFor)
	}
	n.direct.note(a.Name, now, news)
	if leaving {
		return n.depart(ctx, desired.Departure{Name: a.Name, Life: a.Life})
	}
	if !fresh {
		return ErrOutOfContact
	}
	return nil
}

// Leave takes the notice of a target that it is about to exit.
func (n *Node) Leave(ctx context.Context, name string) error {
	life := roster.Life(time.Now().UnixMilli())
	if t, ok := n.targets.Find(name); ok {
		life = t.Life
	}
	return n.depart(ctx, desired.Departure{Name: name, Life: life})
}

// TargetAt returns the present life of a target, and whether it announced itself
// at an address.
func (n *Node) TargetAt(name, address string) (roster.Life, bool) {
	t, ok := n.targets.Find(name)
	return t.Life, ok && t.Address == address
}

func (n *Node) depart(ctx context.Context, d desired.Departure) error {
	if state, _ := n.machine.State(); state.HasDeparture(d) {
		return nil
	}
	return n.Submit(ctx, desired.Command{Departure: &d})
}
