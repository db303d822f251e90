package claim

import (
	"maps"
	"time"
)

// Gate decides which keys a store may vote for, by their timestamps and the
// state of the store, and holds the recorded fences of the other stores. It is
// not safe for concurrent use.
type Gate struct {
	name  string
	state GateState
}

// NewGate returns the gate of a store with an empty folder. Until it is ready
// the store votes only for keys that an earlier incarnation cannot have voted
// for: those with timestamps at least twice MaxClockSkew after now.
func NewGate(name, incarnation string, now time.Time) *Gate {
	return &Gate{name: name, state: GateState{
		Self:      Fence{Incarnation: incarnation},
		VotesFrom: now.Add(2 * MaxClockSkew),
		Known:     map[string]Fence{},
	}}
}

// RestoreGate returns a gate with the last persisted state.
//
// If the store was not ready, VotesFrom is computed again from now: its folder
// may have been moved away and put back, and another incarnation may have voted
// in between.
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

// Check returns the verdict that refuses a vote for the key, or 0 if the store
// may vote for it.
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

// NeedsCopy reports whether a joining store must copy the record of a key. Keys
// from VotesFrom on need no copy, since no earlier incarnation can have voted for them.
func (g *Gate) NeedsCopy(k Key) bool { return k.Time().Before(g.state.VotesFrom) }

// RecordFence records the fence of another store, unless a fence of the same or a
// higher generation is recorded already. The mutation must be synced before
// records are copied to that store.
func (g *Gate) RecordFence(store string, f Fence) *Mutation {
	if old, ok := g.state.Known[store]; store == g.name || ok && !isNewer(f, old) {
		return nil
	}
	known := maps.Clone(g.state.Known)
	known[store] = f
	g.state.Known = known
	return g.mutation()
}

// isNewer reports whether f has a higher generation than old. Of two fences with
// the same generation the one recorded first is kept.
func isNewer(f, old Fence) bool { return f.Generation > old.Generation }

// Known returns the recorded fence of a store.
func (g *Gate) Known(store string) (Fence, bool) {
	f, ok := g.state.Known[store]
	return f, ok
}

// ReplacementFences returns the fences of stores that replaced a lost disk, for
// vote replies. Generation 1 replaces nothing and is left out.
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

// AllKnown returns the recorded fences by store name. The map must not be modified.
func (g *Gate) AllKnown() map[string]Fence { return g.state.Known }

// SetGeneration sets the generation of the store's own fence.
func (g *Gate) SetGeneration(generation uint64) *Mutation {
	if g.state.Self.Generation == generation {
		return nil
	}
	g.state.Self.Generation = generation
	return g.mutation()
}

// MarkReady lets the store vote for all keys, because it has copied enough
// other stores or is new.
func (g *Gate) MarkReady() *Mutation {
	g.state.Ready = true
	return g.mutation()
}

// Supersede stops voting permanently, because a newer incarnation of this store exists.
func (g *Gate) Supersede() *Mutation {
	g.state.Superseded = true
	return g.mutation()
}

// AdvanceHorizon moves the horizon forward so that records past their lifetime
// may be dropped. The horizon never moves back.
func (g *Gate) AdvanceHorizon(now time.Time) *Mutation {
	return g.RaiseHorizon(now.Add(-Lifetime - 2*MaxClockSkew))
}

// RaiseHorizon moves the horizon forward to that of a copied store. An earlier
// horizon changes nothing.
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

// Learn merges the recorded fences and the horizon of a copied store.
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
