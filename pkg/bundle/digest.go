package bundle

import (
	"encoding/hex"
	"fmt"
)

// Digest is a SHA-256 digest. Its text form is hexadecimal.
type Digest [32]byte

func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest is unset, as the previous root of version 1 is.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return fmt.Errorf("digest has %d hexadecimal digits, not %d", len(text), 2*len(d))
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// MarshalBinary implements encoding.BinaryMarshaler, which CBOR uses.
func (d Digest) MarshalBinary() ([]byte, error) { return d[:], nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (d *Digest) UnmarshalBinary(data []byte) error {
	if len(data) != len(d) {
		return fmt.Errorf("digest has %d bytes, not %d", len(data), len(d))
	}
	copy(d[:], data)
	return nil
}
