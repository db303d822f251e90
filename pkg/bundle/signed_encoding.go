package bundle

import "fmt"

// deltaDivisor limits a delta to one change for every deltaDivisor blocks of the
// bundle. Above that a snapshot is smaller: a packed block takes about 5 bytes
// in it, a changed block about 25 bytes in a delta.
const deltaDivisor = 5

// NewSigned returns a signed version in its smaller form, a delta from base or a
// snapshot. base is nil if the receiver has no version.
func NewSigned(h Header, next, base *Bundle) (*Signed, error) {
	if base != nil {
		d := NewDelta(base, next)
		if len(d.Changes) <= smallDelta || len(d.Changes) < len(next.Blocks)/deltaDivisor {
			return &Signed{Header: h, Delta: d}, nil
		}
	}
	data, err := EncodeSnapshot(next)
	return &Signed{Header: h, Snapshot: data}, err
}

// smallDelta is the number of changes up to which a delta is used regardless of
// the size of the bundle.
const smallDelta = 100

// Encode returns the CBOR form. Messages carry it as a byte string, since the
// decoders of messages limit the length of arrays.
func (s *Signed) Encode() ([]byte, error) { return encoding.Marshal(s) }

// DecodeSigned decodes the result of Encode. It verifies neither the signature
// nor the digest.
func DecodeSigned(data []byte) (*Signed, error) {
	s := &Signed{}
	if err := decoding.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode signed bundle: %w", err)
	}
	return s, nil
}
