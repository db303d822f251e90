package claim

// Joiner decides when a store with an empty folder may vote for all keys.
//
// The store first asks the others which of its incarnations they have
// recorded, takes the next generation, registers it with them and copies their
// records. The sets of n-m+1 stores that two incarnations use intersect, so
// generations increase. Any majority with a lost grant intersects the n-m+1
// copied stores. A vote in the intersection was either copied, or given after
// the registration; in that case its grant carries the new fence, and the
// proposer discards the lost grant.
type Joiner struct {
	self     Fence
	others   int
	founding bool
	// fresh is set if this run of the process chooses the generation. A folder
	// from an earlier run may be an outdated one that was put back.
	fresh      bool
	superseded bool

	recorded map[string]Fence // fence of this store that each other store has recorded
	replied  map[string]bool  // stores that replied since the generation was last reset
	copied   map[string]Fence // fence of each copied store when it was copied
	fences   map[string]Fence // newest known fence of each store
}

// NewJoiner returns the joiner of a store with the given fence and number of
// other stores. Founding is set if the operator declares all stores new.
func NewJoiner(self Fence, others int, founding bool) *Joiner {
	j := &Joiner{self: self, others: others, founding: founding, fresh: self.Generation == 0, fences: map[string]Fence{}}
	j.reset()
	return j
}

func (j *Joiner) reset() {
	j.recorded, j.replied, j.copied = map[string]Fence{}, map[string]bool{}, map[string]Fence{}
}

// requiredCopies returns n-m+1 for n stores, this one included, with majority m.
func (j *Joiner) requiredCopies() int { n := j.others + 1; return n - Majority(n) + 1 }

// HandleStatus processes the reply to a CopyStatus or CopyRegister request. If
// the reply shows a fence that replaces this store's own, a store that chose
// its generation in this run repeats all steps with a new generation, and any
// other store is superseded.
func (j *Joiner) HandleStatus(r CopyReply) {
	j.learnFences(r.Known)
	j.replied[r.Store] = true
	delete(j.recorded, r.Store)
	if r.RequesterFence == nil {
		return
	}
	if j.self.Generation > 0 && r.RequesterFence.Replaces(j.self) {
		j.superseded = j.superseded || !j.fresh
		j.reset()
		j.self.Generation = 0
		j.replied[r.Store] = true
	}
	j.recorded[r.Store] = *r.RequesterFence
}

// Superseded reports whether a newer incarnation has replaced this store's folder.
func (j *Joiner) Superseded() bool { return j.superseded }

// Fence returns the fence to register. Its generation is zero until enough stores have replied.
func (j *Joiner) Fence() Fence {
	if j.self.Generation == 0 && !j.superseded && len(j.replied) >= min(j.requiredCopies(), j.others) {
		j.self.Generation = j.nextGeneration()
	}
	return j.self
}

// nextGeneration returns the lowest generation that is above those recorded for
// other incarnations of this store, and not below the one recorded for this one.
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

// Copied marks a store as copied once all its pages are on disk here, if it has
// recorded the current fence. Source is the store's own fence, the same on all pages.
func (j *Joiner) Copied(store string, source Fence, known map[string]Fence) {
	j.learnFences(known)
	if j.Registered(store) {
		j.copied[store] = source
	}
}

// HasCopied reports whether all records of the store have been copied.
func (j *Joiner) HasCopied(store string) bool { _, ok := j.copied[store]; return ok }

// Done reports whether the store may vote for all keys: it has copied enough
// others, or it is new and no other store has recorded an earlier incarnation of it.
func (j *Joiner) Done() bool {
	if j.superseded {
		return false
	}
	if j.countValidCopies() >= j.requiredCopies() {
		return true
	}
	return j.founding && j.self.Generation == 1 && j.countRegistrations() == j.others
}

// countValidCopies returns the number of copied stores, without those whose fence
// was replaced: their folders were outdated ones that had been put back.
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
