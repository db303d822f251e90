package claim

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// simulation is a set of stores and attempts in which the test controls the delivery of every message.
type simulation struct {
	now       time.Time
	key       Key
	stores    []*simStore
	attempts  []*simAttempt
	ran       *simAttempt // the attempt whose request the target ran
	violation string      // first violation that was found
}

// simStore is a store with a simulated disk. Changes reach the disk only in
// sync, and replies are sent only after it.
type simStore struct {
	w            *simulation
	name         string
	incarnations int
	skew         time.Duration
	live         *Store
	disk         simDisk
	unsynced     []change
	joiner       *Joiner
	fetched      *CopyReply // a copy that has been read but not yet merged
	old          []simDisk  // folders of earlier incarnations
}

type simDisk struct {
	incarnation string
	snap        *Snapshot
	changes     []*Mutation
}

type change struct {
	m     *Mutation
	reply func()
}

type simAttempt struct {
	Attempt
	p        *Proposer
	votes    []int // indexes of stores with a vote request in flight
	replies  []VoteReply
	releases []int
	finishes []int
	answer   Encoded
	sent     bool
	ended    bool // released, or its result reported
	released bool
	refused  Decision
}

func newSimulation(n int) *simulation {
	w := &simulation{now: time.UnixMilli(1_800_000_000_000)}
	w.key = keyAt(w.now)
	for i := range n {
		s := &simStore{w: w, name: fmt.Sprint("s", i)}
		s.format()
		w.stores = append(w.stores, s)
	}
	// All stores start as founding stores of a new deployment.
	for range 3 {
		for _, s := range w.stores {
			for _, o := range w.stores {
				s.join(o, true)
			}
		}
	}
	w.now = w.now.Add(time.Second)
	return w
}

func keyAt(t time.Time) Key {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: 1}
	ms := t.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return Key{Service: "bookings", ID: id}
}

func (w *simulation) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

func (s *simStore) time() time.Time { return s.w.now.Add(s.skew) }

// format starts the store with an empty folder.
func (s *simStore) format() {
	s.incarnations++
	s.old = append(s.old, s.disk)
	s.disk = simDisk{incarnation: fmt.Sprint(s.name, "-", s.incarnations)}
	s.boot()
}

// boot restarts the store from its disk; changes that were not synced are lost.
func (s *simStore) boot() {
	s.unsynced, s.fetched = nil, nil
	s.live = RestoreStore(s.name, s.disk.incarnation, s.time(), s.disk.snap, s.disk.changes)
	s.joiner = NewJoiner(s.live.Gate.Fence(), len(s.w.stores)-1, s.incarnations == 1)
	if len(s.w.stores) == 0 || s.incarnations == 1 {
		s.joiner = nil // set by join, when the number of stores is known
	}
	s.write(s.live.Gate.Mutation(), nil)
	s.sync()
}

func (s *simStore) write(m *Mutation, reply func()) {
	s.unsynced = append(s.unsynced, change{m: m, reply: reply})
}

func (s *simStore) sync() {
	for _, c := range s.unsynced {
		if c.m != nil {
			s.disk.changes = append(s.disk.changes, c.m)
		}
		if c.reply != nil {
			c.reply()
		}
	}
	s.unsynced = nil
}

// join runs one step of the join with another store. Merging a copy is a
// separate step, so that changes may happen between reading and merging.
func (s *simStore) join(o *simStore, founding bool) {
	if o == s {
		return
	}
	if s.joiner == nil {
		s.joiner = NewJoiner(s.live.Gate.Fence(), len(s.w.stores)-1, founding)
	}
	j := s.joiner
	req := CopyRequest{Store: s.name, Fence: j.Fence(), Step: CopyRegister}
	if j.Fence().Generation > 0 {
		s.write(s.live.Gate.SetGeneration(j.Fence().Generation), nil)
		s.sync()
		o.write(o.live.Gate.RecordFence(s.name, req.Fence), nil)
		o.sync()
	}
	j.HandleStatus(o.live.Gate.CopyReply(s.name))
	if j.Superseded() {
		s.write(s.live.Gate.Supersede(), nil)
		return
	}
	if !s.live.Gate.Ready() && j.Registered(o.name) && o.live.Gate.Serves(req) && s.fetched == nil {
		reply := o.live.Gate.CopyReply(s.name)
		reply.Records = o.live.Records()
		s.fetched = &reply
	}
	s.open()
}

// merge merges the copy that an earlier join has read.
func (s *simStore) merge() {
	r := s.fetched
	if r == nil {
		return
	}
	s.fetched = nil
	s.write(s.live.Gate.Learn(r.Known, r.Horizon), nil)
	for _, m := range s.live.Merge(r.Records) {
		s.write(m, nil)
	}
	s.sync()
	s.joiner.Copied(r.Store, r.Fence, r.Known)
	s.open()
}

func (s *simStore) open() {
	if !s.live.Gate.Ready() && s.joiner.Done() {
		s.write(s.live.Gate.MarkReady(), nil)
		s.sync()
	}
}

// rejoin lets a store register with and copy all others except skip.
func (w *simulation) rejoin(s, skip *simStore) {
	for range 2 {
		for _, o := range w.stores {
			if o != skip {
				s.join(o, false)
				s.merge()
			}
		}
	}
}

func (s *simStore) forget() {
	s.write(s.live.Gate.AdvanceHorizon(s.time()), nil)
	s.sync()
	s.live.Register.Drop(s.live.Gate.Horizon())
}

// begin starts an attempt and queues its vote requests.
func (w *simulation) begin(host string, counter uint64) *simAttempt {
	a := &simAttempt{Attempt: Attempt{Host: host, Incarnation: host + "-1", Counter: counter}}
	var names []string
	for i, s := range w.stores {
		names = append(names, s.name)
		a.votes = append(a.votes, i)
	}
	a.p = NewProposer(a.Attempt, names)
	w.attempts = append(w.attempts, a)
	return a
}

// vote delivers a vote request; the reply is sent after the sync.
func (w *simulation) vote(a *simAttempt, i int) {
	s := w.stores[i]
	reply, m := s.live.Vote(s.time(), VoteRequest{Key: w.key, Attempt: a.Attempt})
	s.write(m, func() { a.replies = append(a.replies, reply) })
}

// reply delivers a reply to the attempt and checks its decision.
func (w *simulation) reply(a *simAttempt, r VoteReply) { w.decided(a, a.p.Reply(r)) }

func (w *simulation) decided(a *simAttempt, d Decision) {
	if a.refused != Waiting && d != a.refused {
		w.fail("attempt %v changed its decision from refusal %d to %d", a, a.refused, d)
	}
	switch {
	case d == Waiting, a.refused != Waiting, a.sent, a.ended:
	case d == MaySend:
		w.send(a)
	default:
		a.refused = d
		if d == Replay && (w.ran == nil || string(a.p.Answer()) != string(w.ran.answer)) {
			w.fail("attempt %v replayed an answer that differs from the target's", a)
		}
		w.release(a)
	}
}

// send marks the request as sent and checks that no other attempt has the right to send.
func (w *simulation) send(a *simAttempt) {
	for _, o := range w.attempts {
		if o != a && o.sent && !o.released {
			w.fail("attempts %v and %v both have the right to send", o, a)
		}
	}
	a.sent = true
}

// run lets the target run the request.
func (w *simulation) run(a *simAttempt) {
	if w.ran != nil && w.ran != a {
		w.fail("attempts %v and %v both ran", w.ran, a)
	}
	w.ran = a
	a.answer = Encoded(a.String())
}

// release ends the attempt and queues the release requests for its votes.
func (w *simulation) release(a *simAttempt) {
	a.ended, a.released = true, true
	for i, s := range w.stores {
		for _, name := range a.p.StoresToRelease() {
			if s.name == name {
				a.releases = append(a.releases, i)
			}
		}
	}
}

// finish queues the reports of the result, or that it is not known, for all stores.
func (w *simulation) finish(a *simAttempt) {
	a.ended = true
	for i := range w.stores {
		a.finishes = append(a.finishes, i)
	}
}
