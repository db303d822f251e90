package agree

// membershipHistory holds the memberships of the log. The newest is in force as soon as
// its entry is in the log, committed or not.
type membershipHistory struct{ list []Membership }

func (h *membershipHistory) current() Membership {
	if len(h.list) == 0 {
		return Membership{}
	}
	return h.list[len(h.list)-1]
}

// at returns the membership as of an index.
func (h *membershipHistory) at(index uint64) Membership {
	for i := len(h.list) - 1; i >= 0; i-- {
		if h.list[i].Index <= index {
			return h.list[i]
		}
	}
	return Membership{}
}

func (h *membershipHistory) record(entries []Entry) {
	for _, e := range entries {
		if e.Kind == EntryMembership {
			h.list = append(h.list, Membership{Index: e.Index, Servers: e.Servers})
		}
	}
}

// truncate forgets memberships of entries behind index.
func (h *membershipHistory) truncate(index uint64) {
	for len(h.list) > 0 && h.list[len(h.list)-1].Index > index {
		h.list = h.list[:len(h.list)-1]
	}
}

// dropSuperseded drops memberships that are not needed from index on.
func (h *membershipHistory) dropSuperseded(index uint64) {
	for len(h.list) > 1 && h.list[1].Index <= index {
		h.list = h.list[1:]
	}
}
