package agree

// ID names a server: a host with one life of its disk.
type ID struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

func (id ID) String() string { return id.Name + "/" + id.Incarnation }

// Server is one member of the group.
type Server struct {
	ID    ID     `cbor:"1,keyasint"`
	Peer  string `cbor:"2,keyasint"`
	Voter bool   `cbor:"3,keyasint"` // false for a learner, which counts in no majority
}
