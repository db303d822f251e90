package slots

// Holder is one process of an entry host.
type Holder struct {
	Host        string
	Incarnation string
}

// ID names a request for a slot and the permit granted to it. The holder
// chooses the number, so it can release a permit whose grant never arrived.
type ID struct {
	Holder Holder
	Number uint64
}
