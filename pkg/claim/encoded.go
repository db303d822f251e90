package claim

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Encoded is an Answer encoded as CBOR. Stores keep this form because they
// never read the contents, and a decoded header takes several times the memory.
type Encoded []byte

// Encode returns the answer in the form that stores keep.
func (a *Answer) Encode() (Encoded, error) { return cbor.Marshal(a) }

// answerDecoding takes header values as they are: targets may send any bytes in them.
var answerDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode parses the stored form of an answer.
func (e Encoded) Decode() (*Answer, error) {
	a := &Answer{}
	if err := answerDecoding.Unmarshal(e, a); err != nil {
		return nil, fmt.Errorf("decode recorded answer of %d bytes: %w", len(e), err)
	}
	return a, nil
}
