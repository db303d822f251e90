package claim

// Joiner decides when a store with an empty folder may vote for all keys.
//
// It first learns which incarnations of itself others have met, takes the
// next generation, registers it, and copies. The sets of n-m+1 stores of two
// incarnations intersect, so the generations rise. Any majority that a lost
// grant belongs to intersects the n-m+1 copied stores, so each such vote was
// either copied, or given after the registration and its grant then tells the
// proposer to discard the lost one.
type Joiner struct {
	self     Fence
	others   int
	founding bool

	met    map[string]Fence // of this store's name, as the others know it
	asked  map[string]bool
	copied map[string]bool
}

// NewJoiner returns the state of a store with the given number of other
// stores. Founding says that the operator declares all stores new.
func NewJoiner(self Fence, others int, founding bool) *Joiner {
	j := &Joiner{self: self, others: others, founding: founding}
	j.reset()
	return j
}

func (j *Joiner) reset() {
	j.met, j.asked, j.copied = map[string]Fence{}, map[string]bool{}, map[string]bool{}
}

// need is n-m+1 for n stores, of which others = n-1.
func (j *Joiner) need() int { n := j.others + 1; return n - Majority(n) + 1 }

// Status takes the reply to a CopyStatus or CopyRegister step. If a higher
// incarnation of this store turns up, all steps start again with a new generation.
func (j *Joiner) Status(r CopyReply) {
	j.asked[r.Store] = true
	delete(j.met, r.Store)
	if r.Met == nil {
		return
	}
	if j.self.Generation > 0 && r.Met.Replaces(j.self) {
		j.reset()
		j.self.Generation = 0
		j.asked[r.Store] = true
	}
	j.met[r.Store] = *r.Met
}

// Fence returns the fence to register. The generation is zero until enough stores have been asked.
func (j *Joiner) Fence() Fence {
	if j.self.Generation == 0 && len(j.asked) >= min(j.need(), j.others) {
		j.self.Generation = 1
		for _, f := range j.met {
			if f.Incarnation == j.self.Incarnation {
				j.self.Generation = max(j.self.Generation, f.Generation)
				continue
			}
			j.self.Generation = max(j.self.Generation, f.Generation+1)
		}
	}
	return j.self
}

// Registered reports whether the store has recorded the current fence.
func (j *Joiner) Registered(store string) bool {
	f, ok := j.met[store]
	return ok && j.self.Generation > 0 && f == j.self
}

// Copied notes that all pages of a registered, ready store have been synced here.
func (j *Joiner) Copied(store string) {
	if j.Registered(store) {
		j.copied[store] = true
	}
}

// HasCopied reports whether the store is done with.
func (j *Joiner) HasCopied(store string) bool { return j.copied[store] }

// Done reports whether the store may vote for all keys: it has copied enough
// others, or it is new and every other store has met no other incarnation of it.
func (j *Joiner) Done() bool {
	if len(j.copied) >= j.need() {
		return true
	}
	return j.founding && j.self.Generation == 1 && j.registrations() == j.others
}

func (j *Joiner) registrations() int {
	n := 0
	for s := range j.met {
		if j.Registered(s) {
			n++
		}
	}
	return n
}
