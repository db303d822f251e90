package claim

import "time"

// Store is the step function of one claim store over a set of keys. Stores of
// different key sets may share a Gate. It is not safe for concurrent use; the
// caller syncs returned mutations, in order, before it sends the reply.
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

// Finish records a result, unless its key is so old that the record may have been dropped.
func (s *Store) Finish(now time.Time, req FinishRequest) *Mutation {
	if req.Key.Time().Before(s.Gate.Horizon()) {
		return nil
	}
	return s.Register.Finish(now, req.Key, req.Attempt, req.Answer)
}

// Release gives up an attempt, unless its key is so old that it is never voted for again.
func (s *Store) Release(now time.Time, req ReleaseRequest) *Mutation {
	if req.Key.Time().Before(s.Gate.Horizon()) {
		return nil
	}
	return s.Register.Release(now, req.Key, req.Attempt, req.HoldDown)
}

// Read returns the holder or the result of a key, after a renewal by its owner.
func (s *Store) Read(now time.Time, req ReadRequest) VoteReply {
	if req.Renew != nil {
		s.Register.Renew(now, req.Key, *req.Renew)
	}
	return s.withFences(s.Register.Read(now, req.Key))
}

// Merge takes over the records of another store. Keys that this store may
// vote for without a copy, and keys past the horizon, are left out.
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

// Apply replays a record change when the log is read.
func (s *Store) Apply(m *Mutation) {
	if m.Key != nil && m.Record != nil {
		s.Register.Set(*m.Key, m.Record)
	}
}

// withFences adds what the store knows of itself and of others. The fences are
// read at the time of the vote, under the lock that also guards copying.
func (s *Store) withFences(r VoteReply) VoteReply {
	r.Store, r.Fence, r.Known = s.Gate.name, s.Gate.Fence(), s.Gate.ReplacementFences()
	return r
}
