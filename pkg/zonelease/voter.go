package zonelease

import "time"

// Voter promises its vote to one candidate at a time, each time for
// LeaseDuration. It is not safe for concurrent use.
type Voter struct {
	blockedUntil time.Time // end of the restart wait
	term         uint64
	holder       string
	until        time.Time // end of the promise to holder

	releasedBy   string
	releasedTerm uint64
}

// NewVoter returns a voter for a process that started at start. The promise of
// an earlier process may still be in force but is not known, so the new voter
// grants nothing for LeaseDuration.
func NewVoter(start time.Time) *Voter {
	return &Voter{blockedUntil: start.Add(LeaseDuration)}
}

// Handle answers a candidate's request.
func (v *Voter) Handle(now time.Time, r Request) Reply {
	if r.Release {
		v.release(r)
		return Reply{Granted: true, Term: v.term}
	}
	if now.Before(v.blockedUntil) {
		return v.refuse(v.blockedUntil.Sub(now))
	}
	if v.holder != r.Candidate && now.Before(v.until) {
		return v.refuse(v.until.Sub(now))
	}
	if r.Term < v.term || r.Term == v.term && v.holder != r.Candidate || v.wasReleased(r) {
		return v.refuse(0)
	}
	v.term, v.holder, v.until = r.Term, r.Candidate, now.Add(LeaseDuration)
	return Reply{Granted: true, Term: v.term}
}

// PromisedToOther returns how long the voter is still unable to grant to self,
// because of a promise to another candidate or because it has just restarted.
func (v *Voter) PromisedToOther(now time.Time, self string) time.Duration {
	if now.Before(v.blockedUntil) {
		return v.blockedUntil.Sub(now)
	}
	if v.holder == self || !now.Before(v.until) {
		return 0
	}
	return v.until.Sub(now)
}

// Holder returns the candidate that the voter is promised to, or "".
func (v *Voter) Holder(now time.Time) string {
	if !now.Before(v.until) {
		return ""
	}
	return v.holder
}

func (v *Voter) refuse(remaining time.Duration) Reply {
	return Reply{Term: v.term, Holder: v.holder, Remaining: remaining}
}

// release ends the promise to the request's candidate, and remembers the released
// term against requests that arrive later.
func (v *Voter) release(r Request) {
	v.releasedBy, v.releasedTerm = r.Candidate, r.Term
	if v.holder == r.Candidate && r.Term >= v.term {
		v.until = time.Time{}
	}
}

// wasReleased reports whether the request arrived after its candidate released
// that term. Granting it would only delay the election of the next coordinator.
func (v *Voter) wasReleased(r Request) bool {
	return r.Candidate == v.releasedBy && r.Term <= v.releasedTerm
}
