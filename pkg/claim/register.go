package claim

import "time"

// entry is a record with the time of its owner's last vote or renewal. The time
// is not persisted: after a restart owners count as silent until they renew.
type entry struct {
	record   *Record
	lastSeen time.Time
}

// Register holds the records of a set of keys in memory. It is not safe for concurrent use.
type Register struct {
	entries map[Key]entry
}

var emptyRecord = &Record{}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{entries: map[Key]entry{}} }

// Len returns the number of records.
func (r *Register) Len() int { return len(r.entries) }

// Record returns the record of a key, or nil.
func (r *Register) Record(k Key) *Record { return r.entries[k].record }

// recordOrEmpty returns the record of a key, or an empty one.
func (r *Register) recordOrEmpty(k Key) *Record {
	if e, ok := r.entries[k]; ok {
		return e.record
	}
	return emptyRecord
}

// Vote grants the key to the attempt unless another attempt may hold it. Once a
// record has a result, no vote changes it.
func (r *Register) Vote(now time.Time, k Key, a Attempt) (VoteReply, *Mutation) {
	rec := r.recordOrEmpty(k)
	switch {
	case rec.Result != NoResult:
		return r.Read(now, k), nil
	case rec.released(a):
		return VoteReply{Verdict: WasReleased}, nil
	case len(rec.Owners) == 0 && now.UnixMilli() < rec.HoldDownUntil:
		return VoteReply{Verdict: HeldDown}, nil
	case len(rec.Owners) == 0:
		return VoteReply{Verdict: Granted}, r.put(now, k, rec.withOwner(a.interned()))
	case len(rec.Owners) == 1 && rec.Owners[0] == a:
		r.touch(now, k)
		return VoteReply{Verdict: Granted}, nil
	}
	return r.Read(now, k), nil
}

// Finish records the result of an attempt. Only the attempt that had the right
// to send reports a result, so it replaces whatever this store voted for. A
// known answer replaces an uncertain result.
func (r *Register) Finish(now time.Time, k Key, a Attempt, answer Encoded) *Mutation {
	rec := r.recordOrEmpty(k)
	switch {
	case rec.Result == Done, rec.Result == Uncertain && len(answer) == 0:
		return nil
	case len(answer) == 0:
		return r.put(now, k, rec.withResult(a.interned(), Uncertain, nil))
	}
	return r.put(now, k, rec.withResult(a.interned(), Done, answer))
}

// Release gives up an attempt. It is recorded even if this store has not voted
// for the attempt, so that a vote request that arrives later is refused. With
// holdDown the store votes for no attempt during the next HoldDown.
func (r *Register) Release(now time.Time, k Key, a Attempt, holdDown bool) *Mutation {
	rec := r.recordOrEmpty(k)
	next := rec.withRelease(a.interned())
	if holdDown && next != rec {
		next = next.withHoldDown(now.Add(HoldDown).UnixMilli())
	}
	if rec.Result != NoResult || next == rec {
		return nil
	}
	return r.put(now, k, next)
}

// Renew records that an owner is still active.
func (r *Register) Renew(now time.Time, k Key, a Attempt) {
	if e, ok := r.entries[k]; ok && e.record.Result == NoResult && len(e.record.Owners) == 1 && e.record.Owners[0] == a {
		r.touch(now, k)
	}
}

// Read returns the owners or the result of a key.
func (r *Register) Read(now time.Time, k Key) VoteReply {
	e, ok := r.entries[k]
	if !ok {
		return VoteReply{}
	}
	reply := VoteReply{Owners: e.record.Owners, Result: e.record.Result, Answer: e.record.Answer}
	switch {
	case e.record.Result != NoResult:
		reply.Verdict = HasResult
	case len(e.record.Owners) > 0:
		reply.Verdict = Held
		reply.OwnerAlive = !e.lastSeen.IsZero() && now.Sub(e.lastSeen) < OwnerTimeout
	}
	return reply
}

// Merge merges a record of another store and returns the change, or nil.
func (r *Register) Merge(k Key, o *Record) *Mutation {
	rec := r.recordOrEmpty(k)
	next := rec.merged(o.interned())
	if next == rec {
		return nil
	}
	return r.put(time.Time{}, k, next)
}

// Set replaces a record during replay of the log.
func (r *Register) Set(k Key, rec *Record) { r.put(time.Time{}, k, rec.interned()) }

// Drop removes the records of keys with a timestamp before horizon and returns
// their number. The calling code must have synced the gate's horizon first.
func (r *Register) Drop(horizon time.Time) int {
	before := len(r.entries)
	for k := range r.entries {
		if k.Time().Before(horizon) {
			delete(r.entries, k)
		}
	}
	return before - len(r.entries)
}

// Each calls f for every record.
func (r *Register) Each(f func(Key, *Record)) {
	for k, e := range r.entries {
		f(k, e.record)
	}
}

func (r *Register) put(now time.Time, k Key, rec *Record) *Mutation {
	r.entries[k] = entry{record: rec, lastSeen: now}
	return &Mutation{Key: &k, Record: rec}
}

// touch updates the time at which the owner was last heard of.
func (r *Register) touch(now time.Time, k Key) {
	e := r.entries[k]
	e.lastSeen = now
	r.entries[k] = e
}
