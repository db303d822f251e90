package claim

import (
	"maps"
	"time"
)

// Gate decides which keys a store may vote for at all, and keeps the fences
// of stores. It is not safe for concurrent use.
type Gate struct {
	name  string
	state GateState
}

// NewGate returns the gate of a store with an empty folder. Until it is ready
// the store votes only for keys that an earlier incarnation cannot have voted
// for: their timestamps lie further ahead than the clocks may differ twice.
func NewGate(name, incarnation string, now time.Time) *Gate {
	return &Gate{name: name, state: GateState{
		Self:      Fence{Incarnation: incarnation},
		VotesFrom: now.Add(2 * MaxClockSkew),
		Known:     map[string]Fence{},
	}}
}

// RestoreGate returns the gate with the last state that was written.
//
// A store that was not ready starts its time without a copy afresh: if its
// folder had been put aside, another incarnation may have voted meanwhile.
func RestoreGate(name string, s GateState, now time.Time) *Gate {
	if from := now.Add(2 * MaxClockSkew); !s.Ready && from.After(s.VotesFrom) {
		s.VotesFrom = from
	}
	if s.Known == nil {
		s.Known = map[string]Fence{}
	}
	return &Gate{name: name, state: s}
}

// Ready reports whether the store votes for all keys.
func (g *Gate) Ready() bool { return g.state.Ready && !g.state.Superseded }

// Fence returns the store's own fence.
func (g *Gate) Fence() Fence { return g.state.Self }

// Horizon returns the time before which records may have been dropped.
func (g *Gate) Horizon() time.Time { return g.state.Horizon }

// Check returns the verdict for keys that must not be voted for, or 0.
func (g *Gate) Check(now time.Time, k Key) Verdict {
	t := k.Time()
	switch {
	case t.Before(g.state.Horizon), t.Before(now.Add(-Lifetime)):
		return TooOld
	case t.After(now.Add(MaxClockSkew)):
		return TooNew
	case g.state.Superseded, !g.state.Ready && t.Before(g.state.VotesFrom):
		return NotReady
	}
	return 0
}

// NeedsCopy reports whether the store needs the copy of a key: not of keys that it may vote for without.
func (g *Gate) NeedsCopy(k Key) bool { return k.Time().Before(g.state.VotesFrom) }

// RecordFence records the fence of another store. It must be synced before records
// are copied to that store.
func (g *Gate) RecordFence(store string, f Fence) *Mutation {
	if old, ok := g.state.Known[store]; store == g.name || ok && !isNewer(f, old) {
		return nil
	}
	known := maps.Clone(g.state.Known)
	known[store] = f
	g.state.Known = known
	return g.mutation()
}

// isNewer orders fences; equal generations keep the one met first.
func isNewer(f, old Fence) bool { return f.Generation > old.Generation }

// Known returns the fence that was met of a store.
func (g *Gate) Known(store string) (Fence, bool) {
	f, ok := g.state.Known[store]
	return f, ok
}

// ReplacementFences returns the fences of stores that replaced a lost disk, for vote
// replies. First incarnations replace nothing and are left out.
func (g *Gate) ReplacementFences() map[string]Fence {
	var out map[string]Fence
	for name, f := range g.state.Known {
		if f.Generation > 1 {
			if out == nil {
				out = map[string]Fence{}
			}
			out[name] = f
		}
	}
	return out
}

// AllKnown returns every fence that was met; the map must not be changed.
func (g *Gate) AllKnown() map[string]Fence { return g.state.Known }

// SetGeneration sets the place of the own incarnation in the order of incarnations.
func (g *Gate) SetGeneration(generation uint64) *Mutation {
	if g.state.Self.Generation == generation {
		return nil
	}
	g.state.Self.Generation = generation
	return g.mutation()
}

// MarkReady makes the store ready: it has copied enough other stores, or is new.
func (g *Gate) MarkReady() *Mutation {
	g.state.Ready = true
	return g.mutation()
}

// Supersede ends voting for good, because a newer incarnation of this store exists.
func (g *Gate) Supersede() *Mutation {
	g.state.Superseded = true
	return g.mutation()
}

// AdvanceHorizon moves the horizon so that records past their lifetime may be
// dropped. It never moves back.
func (g *Gate) AdvanceHorizon(now time.Time) *Mutation {
	return g.RaiseHorizon(now.Add(-Lifetime - 2*MaxClockSkew))
}

// RaiseHorizon takes over the horizon of a copied store.
func (g *Gate) RaiseHorizon(horizon time.Time) *Mutation {
	if !horizon.After(g.state.Horizon) {
		return nil
	}
	g.state.Horizon = horizon
	return g.mutation()
}

// State returns a copy of the state.
func (g *Gate) State() GateState { return g.state }

// Mutation returns the current state as a mutation, for the first record of a log.
func (g *Gate) Mutation() *Mutation { return g.mutation() }

func (g *Gate) mutation() *Mutation {
	s := g.state
	return &Mutation{Gate: &s}
}

// Learn takes over the fences and the horizon of a copied store.
func (g *Gate) Learn(known map[string]Fence, horizon time.Time) *Mutation {
	changed := false
	for store, f := range known {
		changed = g.RecordFence(store, f) != nil || changed
	}
	changed = g.RaiseHorizon(horizon) != nil || changed
	if !changed {
		return nil
	}
	return g.mutation()
}
