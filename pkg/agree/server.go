package agree

// ID identifies a server: a host name and an incarnation, which is new whenever
// the host starts with an empty disk.
type ID struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

func (id ID) String() string { return id.Name + "/" + id.Incarnation }

// Server is one member of the group.
type Server struct {
	ID    ID     `cbor:"1,keyasint"`
	Peer  string `cbor:"2,keyasint"` // address for messages from other servers
	Voter bool   `cbor:"3,keyasint"` // false for a learner, which counts in no majority
}
