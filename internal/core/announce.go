package core

import (
	"context"
	"errors"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// ErrOutOfContact is returned while this host is not in contact with a majority,
// so that an announcement may not reach every entry host.
var ErrOutOfContact = errors.New("this control host is not in contact with a majority")

// ErrContradiction is returned for an announcement of a service that the policy does not
// name under the name of a target whose service it names. It comes from another writer, or
// from a target of a service that this host is about to hear of.
var ErrContradiction = errors.New("the policy names the service that the target has, but not the announced one")

// Announce records an announcement of a target. If the target is leaving, it
// returns only once the departure is committed to the desired state, which every
// entry host follows. Otherwise it returns at once, with ErrOutOfContact if this
// host is not in contact with a majority. An announcement that contradicts what the policy
// says of the target changes nothing and returns ErrContradiction.
func (n *Node) Announce(ctx context.Context, a roster.Announcement) error {
	n.count("announcements")
	if n.targets.Contradicts(&a) {
		n.count("announcements.contradicting")
		n.config.Log.Warn("announcement contradicts the target", "target", a.Name, "service", a.Service, "address", a.Address,
			"life", a.Life, "sequence", a.Sequence, "leaving", a.Leaving)
		return ErrContradiction
	}
	now := n.now()
	fresh := n.fresh()
	leaving := a.Leaving
	updated := n.targets.Apply(now, roster.Report{Announcement: a})
	if updated {
		n.changed.notify()
		n.config.Log.Info("target announced", "target", a.Name, "service", a.Service, "address", a.Address, "zone", a.Zone,
			"life", a.Life, "sequence", a.Sequence, "leaving", leaving, "cold", a.ColdFor)
	}
	n.direct.record(a.Name, now, updated)
	if leaving {
		return n.submitDeparture(ctx, desired.Departure{Name: a.Name, Life: a.Life})
	}
	if !fresh {
		return ErrOutOfContact
	}
	return nil
}

// Leave records that a target is about to exit and returns once its departure is
// committed to the desired state. The target does not say which incarnation it is. Without
// a basis Leave returns a *ConfirmationError with the newest life that a control host knows:
// a caller that repeats the order still runs, so that no later incarnation has started.
func (n *Node) Leave(ctx context.Context, name string, basis Basis) error {
	if basis != 0 {
		return n.submitDeparture(ctx, desired.Departure{Name: name, Life: roster.Life(basis)})
	}
	life, err := n.newestLife(ctx, name)
	if err != nil {
		return err
	}
	return &ConfirmationError{Basis: Basis(max(life, 1))}
}

// TargetAt returns a target and whether its newest announcement gave this address and no
// other target has taken the address over.
func (n *Node) TargetAt(name, address string) (roster.Target, bool) {
	t, ok := n.targets.Find(name)
	return t, ok && t.Address == address && !t.Superseded
}

// submitDeparture submits a departure unless the desired state already contains it.
func (n *Node) submitDeparture(ctx context.Context, d desired.Departure) error {
	if state, _ := n.machine.State(); state.HasDeparture(d) {
		return nil
	}
	return n.Submit(ctx, desired.Command{Departure: &d})
}
