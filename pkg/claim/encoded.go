package claim

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encoded is an Answer as stores keep it: they never look into it, and a
// decoded header takes several times the memory.
type Encoded []byte

// Encode returns the stored form.
func (a *Answer) Encode() (Encoded, error) { return cbor.Marshal(a) }

// Decode returns the answer.
func (e Encoded) Decode() (*Answer, error) {
	a := &Answer{}
	if err := cbor.Unmarshal(e, a); err != nil {
		return nil, fmt.Errorf("decode recorded answer of %d bytes: %w", len(e), err)
	}
	return a, nil
}
