package claim

import "slices"

// Result is the recorded result of the request with a key.
type Result uint8

// Results of a key.
const (
	NoResult  Result = iota // no result yet, at most votes
	Done                    // the target answered
	Uncertain               // sent, and the result is not known
)

// Record is the state that a store keeps for one key. Records are immutable; a
// change creates a new one.
type Record struct {
	// Owners holds the attempts that the store must assume it has voted for. Votes
	// add at most one; more come only from copies, and then none is granted.
	Owners []Attempt `cbor:"1,keyasint,omitempty"`
	// Released holds the released attempt with the highest counter of each
	// process. A process makes its attempts at a key one after another, so those
	// with lower counters have ended too.
	Released []Attempt `cbor:"2,keyasint,omitempty"`
	Result   Result    `cbor:"3,keyasint,omitempty"`
	Answer   Encoded   `cbor:"4,keyasint,omitempty"`
	// HoldDownUntil is the end of the hold-down in Unix milliseconds, 0 for none.
	HoldDownUntil int64 `cbor:"5,keyasint,omitempty"`
}

// released reports whether the attempt has been released.
func (r *Record) released(a Attempt) bool {
	return slices.ContainsFunc(r.Released, func(b Attempt) bool {
		return a.sameProcess(b) && a.Counter <= b.Counter
	})
}

// withOwner returns the record with a as a further owner, unless a has been released.
func (r *Record) withOwner(a Attempt) *Record {
	if r.released(a) || slices.Contains(r.Owners, a) {
		return r
	}
	next := *r
	next.Owners = append(slices.Clone(r.Owners), a)
	return &next
}

// withRelease returns the record with a released.
func (r *Record) withRelease(a Attempt) *Record {
	if r.released(a) {
		return r
	}
	next := *r
	next.Released = slices.DeleteFunc(slices.Clone(r.Released), a.sameProcess)
	next.Released = append(next.Released, a)
	next.Owners = slices.DeleteFunc(slices.Clone(r.Owners), next.released)
	return &next
}

// withHoldDown returns the record with a hold-down until the given Unix time in milliseconds.
func (r *Record) withHoldDown(until int64) *Record {
	if r.HoldDownUntil >= until {
		return r
	}
	next := *r
	next.HoldDownUntil = until
	return &next
}

// withResult returns the record after the owner reported its result.
func (r *Record) withResult(a Attempt, result Result, answer Encoded) *Record {
	next := *r
	next.Owners = []Attempt{a}
	next.Result, next.Answer = result, answer
	return &next
}

// merged returns the record merged with the record o of another store. It
// returns the receiver if nothing changes.
func (r *Record) merged(o *Record) *Record {
	next := r.withHoldDown(o.HoldDownUntil)
	for _, a := range o.Released {
		next = next.withRelease(a)
	}
	for _, a := range o.Owners {
		next = next.withOwner(a)
	}
	if o.Result == Done && r.Result != Done || o.Result == Uncertain && r.Result == NoResult {
		next = next.withCopiedResult(o)
	}
	return next
}

// withCopiedResult returns the record with the result of the record o of another store.
// o has no owner if the attempt that reported the result was released later.
func (r *Record) withCopiedResult(o *Record) *Record {
	if len(o.Owners) > 0 {
		return r.withResult(o.Owners[0], o.Result, o.Answer)
	}
	next := *r
	next.Result, next.Answer = o.Result, o.Answer
	return &next
}

// interned returns a copy with interned strings.
func (r *Record) interned() *Record {
	next := *r
	next.Owners, next.Released = slices.Clone(r.Owners), slices.Clone(r.Released)
	for i, a := range next.Owners {
		next.Owners[i] = a.interned()
	}
	for i, a := range next.Released {
		next.Released[i] = a.interned()
	}
	return &next
}
