package claim

import (
	"fmt"
	"unique"
)

// Attempt names one try of an entry host to get the right to send for a key.
// A process counts its attempts upwards and tries a key only after its
// earlier attempt at that key has ended.
type Attempt struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Counter     uint64 `cbor:"3,keyasint"`
}

func (a Attempt) String() string { return fmt.Sprintf("%s/%s/%d", a.Host, a.Incarnation, a.Counter) }

// sameProcess reports whether both attempts belong to one run of one host.
func (a Attempt) sameProcess(b Attempt) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation
}

// interned returns the attempt with shared strings: a store holds millions of
// attempts of a few processes.
func (a Attempt) interned() Attempt {
	a.Host, a.Incarnation = unique.Make(a.Host).Value(), unique.Make(a.Incarnation).Value()
	return a
}
