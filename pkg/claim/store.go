package claim

import "time"

// Store is the state machine of one claim store over a set of keys. Stores of
// different key sets may share a Gate. It is not safe for concurrent use. The
// calling code must sync returned mutations, in order, before it sends the reply.
type Store struct {
	Gate     *Gate
	Register *Register
}

// Vote answers a vote request.
func (s *Store) Vote(now time.Time, req VoteRequest) (VoteReply, *Mutation) {
	reply := s.Register.Read(now, req.Key)
	var m *Mutation
	if reply.Verdict != HasResult {
		if v := s.Gate.Check(now, req.Key); v != 0 {
			reply = VoteReply{Verdict: v}
		} else {
			reply, m = s.Register.Vote(now, req.Key, req.Attempt)
		}
	}
	return s.withFences(reply), m
}

// Finish records a result, unless the key is before the horizon and its record
// may have been dropped.
func (s *Store) Finish(now time.Time, req FinishRequest) *Mutation {
	if req.Key.Time().Before(s.Gate.Horizon()) {
		return nil
	}
	return s.Register.Finish(now, req.Key, req.Attempt, req.Answer)
}

// Release gives up an attempt, unless the key is before the horizon and thus
// never gets a vote again.
func (s *Store) Release(now time.Time, req ReleaseRequest) *Mutation {
	if req.Key.Time().Before(s.Gate.Horizon()) {
		return nil
	}
	return s.Register.Release(now, req.Key, req.Attempt, req.HoldDown)
}

// Read returns the owners or the result of a key, after it has applied the
// renewal in the request, if any.
func (s *Store) Read(now time.Time, req ReadRequest) VoteReply {
	if req.Renew != nil {
		s.Register.Renew(now, req.Key, *req.Renew)
	}
	return s.withFences(s.Register.Read(now, req.Key))
}

// Merge merges the records of another store and returns the changes. Keys that
// this store may vote for without a copy, and keys before the horizon, are skipped.
func (s *Store) Merge(records []KeyRecord) []*Mutation {
	var out []*Mutation
	for _, kr := range records {
		if !s.Gate.NeedsCopy(kr.Key) || kr.Key.Time().Before(s.Gate.Horizon()) {
			continue
		}
		if m := s.Register.Merge(kr.Key, kr.Record); m != nil {
			out = append(out, m)
		}
	}
	return out
}

// Records returns all records.
func (s *Store) Records() []KeyRecord {
	out := make([]KeyRecord, 0, s.Register.Len())
	s.Register.Each(func(k Key, r *Record) { out = append(out, KeyRecord{Key: k, Record: r}) })
	return out
}

// Apply replays a change of a record from the log.
func (s *Store) Apply(m *Mutation) {
	if m.Key != nil && m.Record != nil {
		s.Register.Set(*m.Key, m.Record)
	}
}

// withFences adds the store's name, its own fence and the replacement fences of
// other stores. They must be read at the time of the vote, under the lock that
// also guards copying.
func (s *Store) withFences(r VoteReply) VoteReply {
	r.Store, r.Fence, r.Known = s.Gate.name, s.Gate.Fence(), s.Gate.ReplacementFences()
	return r
}
