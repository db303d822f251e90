package bundle

import "fmt"

// deltaShare is the part of a bundle's records, one in deltaShare, above which
// a snapshot is smaller than a delta: a packed block takes about 5 bytes, its
// change in a delta about 25.
const deltaShare = 5

// NewSigned returns a version in its smaller form: a delta from base, or a
// snapshot. base is nil if the receiver holds no version.
func NewSigned(h Header, next, base *Bundle) (*Signed, error) {
	if base != nil {
		d := NewDelta(base, next)
		if len(d.Changes) <= smallDelta || len(d.Changes) < len(next.Blocks)/deltaShare {
			return &Signed{Header: h, Delta: d}, nil
		}
	}
	data, err := EncodeSnapshot(next)
	return &Signed{Header: h, Snapshot: data}, err
}

// smallDelta is a number of changes that is sent as a delta whatever the size of the bundle.
const smallDelta = 100

// Encode returns the compact form. Messages carry it as a byte string, since
// decoders of messages limit the length of arrays.
func (s *Signed) Encode() ([]byte, error) { return encoding.Marshal(s) }

// DecodeSigned is the inverse of Encode. It does not verify anything.
func DecodeSigned(data []byte) (*Signed, error) {
	s := &Signed{}
	if err := decoding.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("decode signed bundle: %w", err)
	}
	return s, nil
}
