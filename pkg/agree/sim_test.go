package agree

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// disk is what a server has made durable.
type disk struct {
	state    HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *disk) save(o *Output) {
	if o.State != nil {
		d.state = *o.State
	}
	if o.Install != nil {
		d.snapshot, d.entries = *o.Install, nil
	}
	if len(o.Entries) > 0 {
		keep := o.Entries[0].Index - d.snapshot.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), o.Entries...)
	}
}

// crashPoint is the step in the handling of an output before which a server crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSave
	beforeSend
	beforeApply
)

// server is one simulated host.
type server struct {
	id       ID
	disk     *disk
	node     *Node // nil while the host is down
	frozen   bool
	isolated bool
	crash    crashPoint    // applies to the next output
	offset   time.Duration // of the server's clock behind the simulation's
	applied  uint64
	value    string            // state machine: the last command
	reads    map[uint64]uint64 // by read: number of committed entries when it was requested
}

// sim runs servers with a simulated network and clock.
type sim struct {
	rand         *rand.Rand
	now          time.Duration
	servers      []*server
	queue        []Message
	loss         float64 // share of messages lost, and also of messages duplicated
	delay        float64 // share of messages delayed by a step
	values       int
	incarnations int
	readID       uint64

	open   bool          // servers that are not in the membership may join
	silent time.Duration // silence after which the leader removes a member
	losses int           // Options.ToleratedLosses of all servers

	committed []Entry  // log of all servers together, from index 1
	terms     []uint64 // by entry: term in which it was first applied
	leaders   map[uint64]ID
	problem   string // first violation found
}

func newSim(seed uint64, n int) *sim { return newSimWithFounders(seed, n, n, 0) }

// newSimWithFounders runs n servers, of which the first founders are the initial
// members. If silent is not 0, the others may join and silent members are removed.
func newSimWithFounders(seed uint64, n, founders int, silent time.Duration) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), leaders: map[uint64]ID{}, now: time.Hour, open: silent > 0, silent: silent}
	for i := range n {
		s.servers = append(s.servers, &server{id: ID{Name: fmt.Sprint("s", i)}})
		s.replaceDisk(s.servers[i])
	}
	var members []Server
	for _, v := range s.servers {
		members = append(members, Server{ID: v.id, Voter: true})
	}
	members = members[:founders]
	if err := s.servers[0].node.Bootstrap(members); err != nil {
		panic(err)
	}
	s.output(s.servers[0])
	return s
}

// replaceDisk restarts a server with an empty disk and a new incarnation.
func (s *sim) replaceDisk(v *server) {
	s.incarnations++
	v.id.Incarnation = fmt.Sprint(s.incarnations)
	v.disk = &disk{}
	s.start(v)
}

func (s *sim) start(v *server) {
	s.stop(v)
	v.offset = time.Duration(s.rand.Int64N(int64(time.Hour))) // each process starts its clock at another time
	v.frozen, v.crash = false, noCrash
	v.applied, v.value = v.disk.snapshot.Index, string(v.disk.snapshot.Data)
	v.reads = map[uint64]uint64{}
	v.node = New(Options{Self: v.id, State: v.disk.state, Snapshot: v.disk.snapshot,
		Entries: slices.Clone(v.disk.entries), Random: s.rand.Int64N, AllowJoin: s.open,
		SilentAfter: s.silent, ToleratedLosses: s.losses}, s.clock(v))
}

func (s *sim) stop(v *server) { v.node, v.reads = nil, nil }

func (s *sim) clock(v *server) time.Duration { return s.now - v.offset }

// fail records the first violation.
func (s *sim) fail(format string, args ...any) {
	if s.problem == "" {
		s.problem = fmt.Sprintf(format, args...)
	}
}

// output handles a node's output as internal/replica does.
func (s *sim) output(v *server) {
	if v.node == nil {
		return
	}
	o := v.node.Ready()
	s.checkLeader(v)
	if o.Empty() {
		return
	}
	point := v.crash
	v.crash = noCrash
	if point == beforeSave {
		s.stop(v)
		return
	}
	v.disk.save(&o)
	if point == beforeSend {
		s.stop(v)
		return
	}
	if !v.isolated {
		s.queue = append(s.queue, o.Messages...)
	}
	if point == beforeApply {
		s.stop(v)
		return
	}
	s.apply(v, &o)
}

// apply hands the committed part of an output to the state machine and checks it.
func (s *sim) apply(v *server, o *Output) {
	if o.Install != nil {
		v.applied, v.value = o.Install.Index, string(o.Install.Data)
		if want := s.valueAt(v.applied); v.value != want {
			s.fail("%s installed a snapshot with value %q at %d instead of %q", v.id, v.value, v.applied, want)
		}
	}
	for _, e := range o.Committed {
		s.commit(v, e)
	}
	for _, r := range o.Reads {
		if r.Err == nil && r.Index < v.reads[r.ID] {
			s.fail("stale read on %s at index %d, although %d entries were committed before it", v.id, r.Index, v.reads[r.ID])
		}
	}
}

// commit checks that all servers commit the same entries, in order, and applies e.
func (s *sim) commit(v *server, e Entry) {
	if e.Index != v.applied+1 {
		s.fail("%s applied entry %d after entry %d", v.id, e.Index, v.applied)
		return
	}
	v.applied = e.Index
	if e.Index > uint64(len(s.committed)) {
		s.committed, s.terms = append(s.committed, e), append(s.terms, v.node.state.Term)
	} else if old := s.committed[e.Index-1]; old.Term != e.Term || string(old.Command) != string(e.Command) {
		s.fail("%s committed a different entry %d, of term %d, than the one of term %d", v.id, e.Index, e.Term, old.Term)
	}
	if e.Kind == EntryCommand {
		v.value = string(e.Command)
	}
}

// valueAt returns the state machine's value as of an index.
func (s *sim) valueAt(index uint64) string {
	for i := int(index) - 1; i >= 0; i-- {
		if s.committed[i].Kind == EntryCommand {
			return string(s.committed[i].Command)
		}
	}
	return ""
}

// checkLeader checks I1, I2 and that no leader is elected during another's lease.
func (s *sim) checkLeader(v *server) {
	status := v.node.Status()
	if status.Role != Leader {
		return
	}
	if known, ok := s.leaders[status.Term]; ok {
		if known != v.id {
			s.fail("%s and %s both lead term %d", known, v.id, status.Term)
		}
		return
	}
	s.leaders[status.Term] = v.id
	for i, e := range s.committed {
		if s.terms[i] >= status.Term {
			continue // committed in this or a later term; a leader elected late may lack it
		}
		if term, ok := v.node.log.term(e.Index); e.Index > v.node.log.base && (!ok || term != e.Term) {
			s.fail("leader %s of term %d lacks committed entry %d", v.id, status.Term, e.Index)
		}
	}
	for _, other := range s.servers {
		if other == v || other.node == nil {
			continue
		}
		o := other.node.Status()
		if o.Role == Leader && o.Term < status.Term && s.clock(other) < o.LeaseEnd {
			s.fail("%s was elected during the lease of %s", v.id, other.id)
		}
	}
}

// deliver delivers, loses or duplicates a message.
func (s *sim) deliver(m Message) {
	fate := s.rand.Float64()
	switch {
	case fate < s.loss:
		return
	case fate < 2*s.loss:
		s.queue = append(s.queue, m, m)
		return
	}
	i := slices.IndexFunc(s.servers, func(v *server) bool { return v.id.Name == m.To.Name })
	v := s.servers[i]
	if v.frozen { // the frozen process's socket buffers the message
		s.queue = append(s.queue, m)
		return
	}
	if v.node == nil || v.isolated {
		return
	}
	if err := v.node.Step(s.clock(v), m); err != nil {
		s.fail("%s: %v", v.id, err)
	}
	s.output(v)
}

// run advances the time in steps of 20 ms and delivers messages in random order.
func (s *sim) run(steps int) {
	for range steps {
		s.now += 20 * time.Millisecond
		for _, v := range s.servers {
			if v.node != nil && !v.frozen {
				v.node.Tick(s.clock(v))
				s.output(v)
				s.join(v)
			}
		}
		queue := s.queue
		s.queue = nil
		s.rand.Shuffle(len(queue), func(i, j int) { queue[i], queue[j] = queue[j], queue[i] })
		for _, m := range queue {
			if s.rand.Float64() < s.delay {
				s.queue = append(s.queue, m)
				continue
			}
			s.deliver(m)
		}
	}
}

// join asks for admission as internal/replica does.
func (s *sim) join(v *server) {
	if v.node == nil || v.isolated || s.rand.IntN(10) > 0 {
		return
	}
	status := v.node.Status()
	lost := s.open && status.Role != Leader && s.clock(v)-status.HeardLeader > 2*time.Second
	if status.Admitted && !lost {
		return
	}
	for _, other := range s.servers {
		if other != v {
			s.queue = append(s.queue, Message{Kind: MsgJoin, From: v.id, To: ID{Name: other.id.Name}})
		}
	}
}

func (s *sim) propose(v *server) {
	s.values++
	_, _, _ = v.node.Propose(s.clock(v), []byte(fmt.Sprint(s.values)))
	s.output(v)
}

func (s *sim) read(v *server) {
	s.readID++
	v.reads[s.readID] = uint64(len(s.committed))
	_ = v.node.Read(s.clock(v), s.readID)
	s.output(v)
}

// compact lets a server take a snapshot of what it has applied.
func (s *sim) compact(v *server) {
	snapshot, ok := v.node.SnapshotAt(v.applied, []byte(v.value))
	if !ok {
		return
	}
	state, entries := v.node.StateAfter(snapshot)
	v.disk = &disk{state: state, snapshot: snapshot, entries: slices.Clone(entries)}
	v.node.Compact(snapshot)
	v.node.log.compact(snapshot.Index) // no trailing entries, so that others need the snapshot
}

// committedMembership returns the newest committed membership.
func (s *sim) committedMembership() Membership {
	var h membershipHistory
	h.record(s.committed)
	return h.current()
}

// countNonVoters counts the hosts whose current incarnation is not a voter of the
// newest committed membership.
func (s *sim) countNonVoters() int {
	committedMembership, n := s.committedMembership(), 0
	for _, v := range s.servers {
		if !committedMembership.IsVoter(v.id) {
			n++
		}
	}
	return n
}

// heal ends all faults and starts the stopped servers.
func (s *sim) heal() {
	s.loss, s.delay = 0, 0
	for _, v := range s.servers {
		v.isolated, v.frozen, v.crash = false, false, noCrash
		if v.node == nil {
			s.start(v)
		}
	}
}
