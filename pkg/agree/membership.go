package agree

import "slices"

// Membership is the set of servers as of one entry of the log. Each name occurs once.
type Membership struct {
	Index   uint64   `cbor:"1,keyasint"` // entry that set it
	Servers []Server `cbor:"2,keyasint"`
}

// Find returns the server with the name; the result is false if there is none.
func (m Membership) Find(name string) (Server, bool) {
	i := slices.IndexFunc(m.Servers, func(s Server) bool { return s.ID.Name == name })
	if i < 0 {
		return Server{}, false
	}
	return m.Servers[i], true
}

// Has reports whether this incarnation is a member.
func (m Membership) Has(id ID) bool {
	s, ok := m.Find(id.Name)
	return ok && s.ID == id
}

// IsVoter reports whether this incarnation is a voter.
func (m Membership) IsVoter(id ID) bool {
	s, ok := m.Find(id.Name)
	return ok && s.ID == id && s.Voter
}

// Quorum is the smallest number of voters that is a majority.
func (m Membership) Quorum() int { return m.voters()/2 + 1 }

// SurvivedLosses is the number of voters that may lose their disks while the others are
// still a majority.
func (m Membership) SurvivedLosses() int { return survivedLosses(m.voters()) }

func survivedLosses(voters int) int { return (voters - 1) / 2 }

func (m Membership) voters() int {
	voters := 0
	for _, s := range m.Servers {
		if s.Voter {
			voters++
		}
	}
	return voters
}

// with returns a copy of the servers in which s replaces the server of the same
// name, or is added if there is none.
func (m Membership) with(s Server) []Server {
	servers := slices.Clone(m.Servers)
	i := slices.IndexFunc(servers, func(o Server) bool { return o.ID.Name == s.ID.Name })
	if i < 0 {
		return append(servers, s)
	}
	servers[i] = s
	return servers
}

// without returns a copy of the servers except the one of the name.
func (m Membership) without(name string) []Server {
	return slices.DeleteFunc(slices.Clone(m.Servers), func(s Server) bool { return s.ID.Name == name })
}

// quorumValue returns the largest value that a majority of voters has reached,
// 0 if there are no voters.
func quorumValue[T int64 | uint64](m Membership, value func(ID) T) T {
	var values []T
	for _, s := range m.Servers {
		if s.Voter {
			values = append(values, value(s.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-m.Quorum()]
}
