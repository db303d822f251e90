package slots

// Holder identifies one process of an entry host.
type Holder struct {
	Host        string
	Incarnation string
}

// ID identifies a request for a slot and the permit granted to it. The holder
// chooses the number, so it can release a permit even if the grant never
// reached it.
type ID struct {
	Holder Holder
	Number uint64
}
