package agree

// membershipHistory holds the memberships set by entries of the log, oldest
// first. The newest is in force as soon as its entry is in the log, committed or
// not.
type membershipHistory struct{ list []Membership }

func (h *membershipHistory) current() Membership {
	if len(h.list) == 0 {
		return Membership{}
	}
	return h.list[len(h.list)-1]
}

// at returns the membership as of an index, an empty one if it is not held.
func (h *membershipHistory) at(index uint64) Membership {
	for i := len(h.list) - 1; i >= 0; i-- {
		if h.list[i].Index <= index {
			return h.list[i]
		}
	}
	return Membership{}
}

// record adds the memberships that the entries set.
func (h *membershipHistory) record(entries []Entry) {
	for _, e := range entries {
		if e.Kind == EntryMembership {
			h.list = append(h.list, Membership{Index: e.Index, Servers: e.Servers})
		}
	}
}

// truncate removes memberships set by entries after index.
func (h *membershipHistory) truncate(index uint64) {
	for len(h.list) > 0 && h.list[len(h.list)-1].Index > index {
		h.list = h.list[:len(h.list)-1]
	}
}

// dropSuperseded drops memberships that were replaced at or before index.
func (h *membershipHistory) dropSuperseded(index uint64) {
	for len(h.list) > 1 && h.list[1].Index <= index {
		h.list = h.list[1:]
	}
}
