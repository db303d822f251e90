package peer

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// cborEncoding implements drpc.Encoding.
type cborEncoding struct{}

// decoding takes text as it is, like the encoder. A decoder that requires UTF-8 would
// refuse a whole message for one odd name in it.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func (cborEncoding) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

func (cborEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	return decoding.Unmarshal(buf, msg)
}
