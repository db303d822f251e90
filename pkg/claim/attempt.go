package claim

import (
	"fmt"
	"unique"
)

// Attempt identifies one try of an entry host to obtain the right to send the
// request of a key. Counter increases with every attempt of a process, and a
// process starts an attempt at a key only after its previous one has ended.
type Attempt struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Counter     uint64 `cbor:"3,keyasint"`
}

func (a Attempt) String() string { return fmt.Sprintf("%s/%s/%d", a.Host, a.Incarnation, a.Counter) }

// sameProcess reports whether both attempts were made in the same run of the same host.
func (a Attempt) sameProcess(b Attempt) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation
}

// interned returns the attempt with interned strings. A store holds millions
// of attempts that come from a few processes.
func (a Attempt) interned() Attempt {
	a.Host, a.Incarnation = unique.Make(a.Host).Value(), unique.Make(a.Incarnation).Value()
	return a
}
