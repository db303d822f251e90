package claim

import "slices"

// Decision is the outcome of an attempt.
type Decision uint8

// Decisions.
const (
	Waiting       Decision = iota
	MaySend                // this attempt has a majority and may send once
	Replay                 // the result of an earlier attempt is recorded
	InProgress             // another attempt may be running; its owner renewed within OwnerTimeout
	ResultUnknown          // another attempt may have run; its result is not known
	Expired                // the key is too old to tell whether it ran; not run now
	KeyInFuture            // the key's timestamp is in the future; not run
	Split                  // all stores voted and no attempt has a majority
	NotRun                 // too few stores voted; this attempt did not and will not send
	KeyHeldDown            // a majority of stores refuses votes during the hold-down; no attempt has run
)

// Proposer decides the outcome of one attempt from the replies of the stores.
// The decision is final: grants that arrive later do not give the right to send.
type Proposer struct {
	attempt  Attempt
	stores   []string
	replies  map[string]VoteReply
	failed   map[string]bool
	fences   map[string]Fence
	decision Decision
	answer   Encoded
}

// NewProposer returns the proposer of an attempt that asks the given stores for their votes.
func NewProposer(a Attempt, stores []string) *Proposer {
	return &Proposer{
		attempt: a, stores: stores,
		replies: map[string]VoteReply{}, failed: map[string]bool{}, fences: map[string]Fence{},
	}
}

// Majority returns the number of grants, out of the given number of stores,
// that give the right to send.
func Majority(stores int) int { return stores/2 + 1 }

// Decision returns the decision so far.
func (p *Proposer) Decision() Decision { return p.decision }

// Answer returns the recorded answer of an earlier attempt after Replay.
func (p *Proposer) Answer() Encoded { return p.answer }

// Reply processes a vote reply and returns the decision so far. Of several
// replies from one store only the first vote counts.
func (p *Proposer) Reply(r VoteReply) Decision {
	if p.decision != Waiting || !slices.Contains(p.stores, r.Store) {
		return p.decision
	}
	for name, f := range r.Known {
		if old, ok := p.fences[name]; !ok || f.Generation > old.Generation {
			p.fences[name] = f
		}
	}
	if _, again := p.replies[r.Store]; !again {
		p.replies[r.Store] = r
	}
	delete(p.failed, r.Store)
	return p.decide()
}

// Fail records that a store could not be reached or that its reply was lost. The
// store may have voted all the same.
func (p *Proposer) Fail(store string) Decision {
	if _, replied := p.replies[store]; !replied && p.decision == Waiting {
		p.failed[store] = true
		return p.decide()
	}
	return p.decision
}

// GiveUp ends the attempt at the caller's deadline by counting every store
// without a reply as failed. It does not change a decision already made.
func (p *Proposer) GiveUp() Decision {
	for _, s := range p.stores {
		p.Fail(s)
	}
	return p.decision
}

// StoresToRelease returns the stores that may hold a vote for the attempt, now
// or once a delayed request arrives: all except those that replied with a
// verdict other than Granted.
func (p *Proposer) StoresToRelease() []string {
	return slices.DeleteFunc(slices.Clone(p.stores), func(s string) bool {
		r, ok := p.replies[s]
		return ok && r.Verdict != Granted
	})
}

func (p *Proposer) decide() Decision {
	grants, open := p.countGrants()
	need := Majority(len(p.stores))
	switch {
	case p.decideByResult():
	case grants >= need:
		p.decision = MaySend
	case grants+open >= need:
	default:
		p.decision = p.refusal()
	}
	return p.decision
}

// countGrants returns the number of valid grants and of stores that may still grant.
func (p *Proposer) countGrants() (grants, open int) {
	for _, s := range p.stores {
		r, replied := p.replies[s]
		switch {
		case !replied && !p.failed[s]:
			open++
		case r.Verdict == Granted && !p.fenced(r):
			grants++
		}
	}
	return grants, open
}

// fenced reports whether the grant comes from an incarnation of the store that
// has been replaced since.
func (p *Proposer) fenced(r VoteReply) bool {
	f, ok := p.fences[r.Store]
	return ok && f.Replaces(r.Fence)
}

// decideByResult decides by a recorded result, if a reply has one, and reports
// whether it did. A known answer takes precedence over an uncertain result.
func (p *Proposer) decideByResult() bool {
	for _, r := range p.replies {
		switch {
		case r.Verdict == HasResult && r.Result == Done:
			p.decision, p.answer = Replay, r.Answer
			return true
		case r.Verdict == HasResult:
			p.decision = ResultUnknown
		}
	}
	return p.decision == ResultUnknown
}

// refusal returns the decision of an attempt that can no longer get a majority.
// If any store holds a vote for another attempt the decision is never NotRun,
// because the other attempt may run.
func (p *Proposer) refusal() Decision {
	seen := map[Verdict]int{}
	recent := false
	for _, r := range p.replies {
		seen[r.Verdict]++
		recent = recent || r.OwnerAlive
	}
	switch {
	case seen[Held] > 0 && recent && p.isSplitVote():
		return Split
	case seen[Held] > 0 && recent:
		return InProgress
	case seen[Held] > 0:
		return ResultUnknown
	case seen[TooOld] > 0:
		return Expired
	case seen[TooNew] > 0:
		return KeyInFuture
	case seen[HeldDown] >= Majority(len(p.stores)):
		// An attempt that got the right to send since then would hold the vote of one of these stores.
		return KeyHeldDown
	}
	return NotRun
}

// isSplitVote reports whether all stores voted and no attempt has a majority.
func (p *Proposer) isSplitVote() bool {
	votes := map[Attempt]int{}
	for _, s := range p.stores {
		r, ok := p.replies[s]
		if !ok || r.Verdict != Granted && r.Verdict != Held {
			return false
		}
		for _, a := range r.Owners {
			votes[a]++
		}
	}
	for _, n := range votes {
		if n >= Majority(len(p.stores)) {
			return false
		}
	}
	return true
}
