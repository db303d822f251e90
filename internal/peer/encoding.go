package peer

import (
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// cborEncoding implements drpc.Encoding.
type cborEncoding struct{}

func (cborEncoding) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

func (cborEncoding) Unmarshal(buf []byte, msg drpc.Message) error { return cbor.Unmarshal(buf, msg) }
