package claim

import "slices"

// Decision is the outcome of an attempt.
type Decision uint8

// Decisions.
const (
	Waiting       Decision = iota
	MaySend                // the attempt, and only it, may send, once
	Replay                 // the result of an earlier attempt is recorded
	InProgress             // another attempt may be running; its owner was heard of lately
	ResultUnknown          // another attempt may have run
	Expired                // the key is too old to tell; it is not run
	KeyInFuture            // the key's timestamp is in the future; not run
	Split                  // all stores voted, no attempt has a majority
	NotRun                 // too few stores voted; this attempt did not and will not send
	KeyHeldDown            // a majority of stores holds the key down; no attempt has run
)

// Proposer decides one attempt from the replies of the stores. It decides
// once: grants that arrive after any other decision do not give the right to send.
type Proposer struct {
	attempt  Attempt
	stores   []string
	replies  map[string]VoteReply
	failed   map[string]bool
	fences   map[string]Fence
	decision Decision
	answer   Encoded
}

// NewProposer returns the state of an attempt that has asked all stores.
func NewProposer(a Attempt, stores []string) *Proposer {
	return &Proposer{
		attempt: a, stores: stores,
		replies: map[string]VoteReply{}, failed: map[string]bool{}, fences: map[string]Fence{},
	}
}

// Majority returns the number of grants that give the right to send.
func Majority(stores int) int { return stores/2 + 1 }

// Decision returns the decision so far.
func (p *Proposer) Decision() Decision { return p.decision }

// Answer returns the recorded answer of an earlier attempt after Replay.
func (p *Proposer) Answer() Encoded { return p.answer }

// Reply takes a store's reply; a repeated one changes nothing.
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

// Fail notes that a store cannot be asked, or that its reply was lost. The store may have voted.
func (p *Proposer) Fail(store string) Decision {
	if _, replied := p.replies[store]; !replied && p.decision == Waiting {
		p.failed[store] = true
		return p.decide()
	}
	return p.decision
}

// GiveUp ends the attempt when the caller's time is over. An attempt that may send stays so.
func (p *Proposer) GiveUp() Decision {
	for _, s := range p.stores {
		p.Fail(s)
	}
	return p.decision
}

// StoresToRelease returns the stores that may hold a vote for the attempt, or get
// one later: all but those that replied with another verdict.
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

// countGrants returns the valid grants and the stores that may still grant.
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

// fenced reports whether the grant comes from a disk that has been lost since.
func (p *Proposer) fenced(r VoteReply) bool {
	f, ok := p.fences[r.Store]
	return ok && f.Replaces(r.Fence)
}

// decideByResult decides by a recorded decideByResult. An answer goes before an uncertain one.
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

// refusal picks the outcome of an attempt that can no longer win. An attempt
// that saw another one never says "not run" for the key: the other may run.
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
		// An attempt that got the right to send since would hold one of these stores.
		return KeyHeldDown
	}
	return NotRun
}

// isSplitVote reports whether all stores voted and nobody has a majority.
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
