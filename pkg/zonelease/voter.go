package zonelease

import "time"

// Voter gives promises to candidates. It is not safe for concurrent use.
type Voter struct {
	blockedUntil time.Time // end of the restart wait
	term         uint64
	holder       string
	until        time.Time

	releasedBy   string
	releasedTerm uint64
}

// NewVoter returns a voter of a process that started at start. It remembers
// nothing of an earlier process, whose promise may still be in force; it
// therefore gives no promise for LeaseDuration.
func NewVoter(start time.Time) *Voter {
	return &Voter{blockedUntil: start.Add(LeaseDuration)}
}

// Handle answers a request.
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

// PromisedToOther returns how long the voter still is promised to a candidate other than self.
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

func (v *Voter) release(r Request) {
	v.releasedBy, v.releasedTerm = r.Candidate, r.Term
	if v.holder == r.Candidate && r.Term >= v.term {
		v.until = time.Time{}
	}
}

// wasReleased reports whether a request was overtaken by the release of its own
// term; a promise to it would only delay the next coordinator.
func (v *Voter) wasReleased(r Request) bool {
	return r.Candidate == v.releasedBy && r.Term <= v.releasedTerm
}
