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
	// fresh is set if the generation is chosen in this run of the process. A
	// folder from an earlier run may be an old one that was put back.
	fresh      bool
	superseded bool

	recorded map[string]Fence // of this store's name, as the others know it
	asked    map[string]bool
	copied   map[string]Fence // the copied store's own fence
	fences   map[string]Fence // newest known of each store
}

// NewJoiner returns the state of a store with the given number of other
// stores. Founding says that the operator declares all stores new.
func NewJoiner(self Fence, others int, founding bool) *Joiner {
	j := &Joiner{self: self, others: others, founding: founding, fresh: self.Generation == 0, fences: map[string]Fence{}}
	j.reset()
	return j
}

func (j *Joiner) reset() {
	j.recorded, j.asked, j.copied = map[string]Fence{}, map[string]bool{}, map[string]Fence{}
}

// requiredCopies is n-m+1 for n stores, of which others = n-1.
func (j *Joiner) requiredCopies() int { n := j.others + 1; return n - Majority(n) + 1 }

// HandleStatus takes the reply to a CopyStatus or CopyRegister step. If a higher
// incarnation of this store turns up, a fresh one starts all steps again with
// a new generation, and another one is superseded.
func (j *Joiner) HandleStatus(r CopyReply) {
	j.learnFences(r.Known)
	j.asked[r.Store] = true
	delete(j.recorded, r.Store)
	if r.RequesterFence == nil {
		return
	}
	if j.self.Generation > 0 && r.RequesterFence.Replaces(j.self) {
		j.superseded = j.superseded || !j.fresh
		j.reset()
		j.self.Generation = 0
		j.asked[r.Store] = true
	}
	j.recorded[r.Store] = *r.RequesterFence
}

// Superseded reports whether the folder of this store has been replaced.
func (j *Joiner) Superseded() bool { return j.superseded }

// Fence returns the fence to register. The generation is zero until enough stores have been asked.
func (j *Joiner) Fence() Fence {
	if j.self.Generation == 0 && !j.superseded && len(j.asked) >= min(j.requiredCopies(), j.others) {
		j.self.Generation = j.nextGeneration()
	}
	return j.self
}

func (j *Joiner) nextGeneration() uint64 {
	generation := uint64(1)
	for _, f := range j.recorded {
		if f.Incarnation == j.self.Incarnation {
			generation = max(generation, f.Generation)
		} else {
			generation = max(generation, f.Generation+1)
		}
	}
	return generation
}

// Registered reports whether the store has recorded the current fence.
func (j *Joiner) Registered(store string) bool {
	f, ok := j.recorded[store]
	return ok && j.self.Generation > 0 && f == j.self
}

// Copied notes that all pages of a registered, ready store have been synced
// here. The source is the fence on all of them.
func (j *Joiner) Copied(store string, source Fence, known map[string]Fence) {
	j.learnFences(known)
	if j.Registered(store) {
		j.copied[store] = source
	}
}

// HasCopied reports whether the store is done with.
func (j *Joiner) HasCopied(store string) bool { _, ok := j.copied[store]; return ok }

// Done reports whether the store may vote for all keys: it has copied enough
// others, or it is new and every other store has met no other incarnation of it.
func (j *Joiner) Done() bool {
	if j.superseded {
		return false
	}
	if j.countValidCopies() >= j.requiredCopies() {
		return true
	}
	return j.founding && j.self.Generation == 1 && j.countRegistrations() == j.others
}

// countValidCopies counts copied stores, without those that turned out to be old folders that were put back.
func (j *Joiner) countValidCopies() int {
	n := 0
	for store, source := range j.copied {
		if f, ok := j.fences[store]; !ok || !f.Replaces(source) {
			n++
		}
	}
	return n
}

func (j *Joiner) countRegistrations() int {
	n := 0
	for s := range j.recorded {
		if j.Registered(s) {
			n++
		}
	}
	return n
}

func (j *Joiner) learnFences(known map[string]Fence) {
	for store, f := range known {
		if old, ok := j.fences[store]; !ok || f.Generation > old.Generation {
			j.fences[store] = f
		}
	}
}
