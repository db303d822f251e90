package zonelease

import (
	"slices"
	"time"
)

// Candidate acquires and renews the lease on behalf of one process. It is not
// safe for concurrent use.
type Candidate struct {
	host   string
	self   string // host and incarnation
	random func() float64

	voters      []string
	rounds      []*round
	lastRound   uint64
	term        uint64
	highestTerm uint64
	held        bool
	until       time.Time
	nextRequest time.Time
	voting      bool // an election is in progress
	stopped     bool // Release was called
	removed     bool // removed from the voter list while holding the lease; the release is still to be sent
}

// NewCandidate returns a candidate for one process of a host. random returns
// values in [0, 1).
func NewCandidate(host, incarnation string, random func() float64) *Candidate {
	return &Candidate{host: host, self: host + "/" + incarnation, random: random}
}

// Self returns the name that identifies the candidate in requests.
func (c *Candidate) Self() string { return c.self }

// Term returns the term of the lease or of the running election.
func (c *Candidate) Term() uint64 { return c.term }

// Holds reports whether the candidate holds the lease, and so is the coordinator,
// at now.
func (c *Candidate) Holds(now time.Time) bool { return c.held && now.Before(c.until) }

// Until returns the end of the lease, or the zero time if none is held.
func (c *Candidate) Until() time.Time {
	if !c.held {
		return time.Time{}
	}
	return c.until
}

// SetVoters replaces the list of voters. A lease granted by a majority of an
// earlier list stays valid until its end; renewals need a majority of the new
// list. A candidate whose host is not in the new list gives up its lease.
func (c *Candidate) SetVoters(hosts []string) {
	if slices.Equal(c.voters, hosts) {
		return
	}
	c.voters = slices.Clone(hosts)
	if !slices.Contains(hosts, c.host) && c.held {
		c.held, c.removed = false, true
	}
}

// Observe ensures that the next election uses a term above the given one.
func (c *Candidate) Observe(term uint64) { c.highestTerm = max(c.highestTerm, term) }

// Tick returns the requests to send to every voter now. promised is how long
// this host's own voter remains promised to another candidate; an election
// before then would be refused.
func (c *Candidate) Tick(now time.Time, promised time.Duration) []Request {
	if c.held && !now.Before(c.until) {
		c.loseLease(now)
	}
	switch {
	case c.removed:
		c.removed = false
		return []Request{c.releaseRequest()}
	case c.stopped || !slices.Contains(c.voters, c.host):
		return nil
	case c.held:
		return c.renew(now)
	case c.voting && (now.Sub(c.lastSent()) >= electionTimeout || c.electionLost()):
		return c.endElection(now)
	case c.voting || now.Before(c.nextRequest):
		return nil
	case promised > 0:
		c.nextRequest = now.Add(min(promised, RenewInterval) + c.delay())
		return nil
	}
	return c.elect(now)
}

// Handle counts a voter's reply to the request of a round. A majority of grants
// acquires or renews the lease, counted from when the request was sent.
func (c *Candidate) Handle(now time.Time, voter string, number uint64, r Reply) {
	c.Observe(r.Term)
	i := slices.IndexFunc(c.rounds, func(r *round) bool { return r.number == number })
	if i < 0 || c.stopped {
		return
	}
	counted := c.rounds[i]
	if !r.Granted {
		counted.refused[voter] = true
		c.postpone(now, r.Remaining)
		return
	}
	counted.granted[voter] = true
	until := counted.sent.Add(HeldDuration)
	if count(c.voters, counted.granted) >= c.majority() && now.Before(until) {
		c.win(now, until)
	}
}

// Release gives up the lease and stops the candidate for good. The returned
// request goes to every voter.
func (c *Candidate) Release() Request {
	c.stopped, c.held, c.voting = true, false, false
	return c.releaseRequest()
}

// StepDown gives up the lease but remains a candidate for a higher term. The
// returned request goes to every voter.
func (c *Candidate) StepDown(now time.Time) Request {
	c.loseLease(now)
	c.voting = false
	return c.releaseRequest()
}

// Wake schedules an election soon, because another holder has released its lease.
func (c *Candidate) Wake(now time.Time) {
	if !c.held && !c.voting {
		c.nextRequest = now.Add(c.delay())
	}
}

func (c *Candidate) majority() int { return len(c.voters)/2 + 1 }

func (c *Candidate) lastSent() time.Time { return c.rounds[len(c.rounds)-1].sent }

// electionLost reports whether so many voters have refused the last round that
// a majority is out of reach.
func (c *Candidate) electionLost() bool {
	last := c.rounds[len(c.rounds)-1]
	return count(c.voters, last.refused) > len(c.voters)-c.majority()
}

// win acquires the lease, or extends it, until the given time.
func (c *Candidate) win(now, until time.Time) {
	if !c.held {
		c.nextRequest = now.Add(RenewInterval)
	}
	c.held, c.voting = true, false
	if until.After(c.until) {
		c.until = until
	}
}

// loseLease ends the lease and schedules the next election.
func (c *Candidate) loseLease(now time.Time) {
	c.held, c.rounds = false, nil
	c.nextRequest = now.Add(c.delay())
}

// renew returns the next renewal if it is due.
func (c *Candidate) renew(now time.Time) []Request {
	if now.Before(c.nextRequest) {
		return nil
	}
	c.nextRequest = now.Add(RenewInterval)
	return []Request{c.startRound(now)}
}

// elect starts an election in a new term.
func (c *Candidate) elect(now time.Time) []Request {
	// Terms derived from the wall clock keep rising even if all voters of the
	// zone restart and lose their state. Mutual exclusion depends on the voters'
	// promises, not on the clock.
	wall := max(now.UnixMilli(), 0)
	c.term = max(c.highestTerm+1, uint64(wall))
	c.highestTerm = c.term
	c.voting, c.rounds = true, nil
	c.until = time.Time{}
	return []Request{c.startRound(now)}
}

// endElection gives up an election without a majority and releases its votes.
func (c *Candidate) endElection(now time.Time) []Request {
	c.voting, c.rounds = false, nil
	if at := now.Add(c.delay()); at.After(c.nextRequest) {
		c.nextRequest = at
	}
	return []Request{c.releaseRequest()}
}

// startRound returns the request of a new round, whose replies Handle counts.
func (c *Candidate) startRound(now time.Time) Request {
	c.lastRound++
	c.rounds = slices.DeleteFunc(c.rounds, func(r *round) bool { return now.Sub(r.sent) > HeldDuration })
	c.rounds = append(c.rounds, newRound(c.lastRound, now))
	return Request{Candidate: c.self, Term: c.term, Round: c.lastRound}
}

// releaseRequest returns the request that releases the voters' promises for the
// current term.
func (c *Candidate) releaseRequest() Request {
	return Request{Candidate: c.self, Term: c.term, Release: true}
}

// postpone delays the next election until a refusing voter's promise has ended.
func (c *Candidate) postpone(now time.Time, remaining time.Duration) {
	if c.held {
		return
	}
	if at := now.Add(min(remaining, LeaseDuration) + c.delay()); at.After(c.nextRequest) {
		c.nextRequest = at
	}
}

// delay returns a random delay that grows with the host's position in the voter
// list: the position orders the candidates, the randomness prevents repeated
// split votes.
func (c *Candidate) delay() time.Duration {
	rank := min(max(slices.Index(c.voters, c.host), 0), maxRanks)
	return time.Duration((float64(rank) + c.random()) * float64(rankDelay))
}
