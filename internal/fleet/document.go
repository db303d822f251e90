package fleet

import "github.com/hornbeamstack/hornbeamstack/pkg/policy"

// MethodDocument is the RPC method by which an entry host fetches the newest policy
// document from a control host, part by part.
const MethodDocument = "fleet.document"

// DocumentRequest asks for a part of the newest document.
type DocumentRequest struct {
	// Base is the digest of the document held, 0 if none is held.
	Base uint64 `cbor:"1,keyasint"`
	// Transfer identifies the transfer that is continued, 0 for a new one.
	Transfer uint64 `cbor:"2,keyasint"`
	Offset   int    `cbor:"3,keyasint"` // number of bytes that have arrived
}

// DocumentReply carries a part of a document, encoded with package delta.
type DocumentReply struct {
	Version policy.Version `cbor:"1,keyasint"` // 0 if there is no document
	Digest  uint64         `cbor:"2,keyasint"` // of the document
	Size    int            `cbor:"3,keyasint"` // of the document, in bytes
	// Base is the digest of the document that the difference is to, 0 if there is none.
	Base uint64 `cbor:"4,keyasint"`
	// Transfer is the digest of all encoded bytes. If it is not the requested one, the
	// transfer begins anew.
	Transfer uint64 `cbor:"5,keyasint"`
	Total    int    `cbor:"6,keyasint"` // number of encoded bytes
	Offset   int    `cbor:"7,keyasint"` // of Part
	Part     []byte `cbor:"8,keyasint"`
}
