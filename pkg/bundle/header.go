package bundle

import (
	"crypto/ed25519"
	"encoding/binary"
	"errors"
	"fmt"
)

// Header identifies a version by its number, content digest and predecessor, and
// carries the signature of the operator.
type Header struct {
	Version   uint64 `cbor:"1,keyasint" json:"version"`
	Previous  Digest `cbor:"2,keyasint" json:"previous_root"`
	Root      Digest `cbor:"3,keyasint" json:"root"`
	Operator  string `cbor:"4,keyasint" json:"operator"`
	Signature []byte `cbor:"5,keyasint" json:"signature"`
}

// ErrUnknownOperator means that the settings hold no public key for the operator.
var ErrUnknownOperator = errors.New("operator has no public key in the settings")

// ErrBadSignature means that the header was not signed with the operator's key.
var ErrBadSignature = errors.New("signature does not match")

// Sign returns the signed header of a version.
func Sign(version uint64, previous, root Digest, operator string, key ed25519.PrivateKey) Header {
	h := Header{Version: version, Previous: previous, Root: root, Operator: operator}
	h.Signature = ed25519.Sign(key, h.signedBytes())
	return h
}

// Verify checks the signature against the public keys, by operator name. It
// returns ErrUnknownOperator or ErrBadSignature, wrapped.
func (h *Header) Verify(keys map[string]ed25519.PublicKey) error {
	key, ok := keys[h.Operator]
	if !ok {
		return fmt.Errorf("version %d: %w: %q", h.Version, ErrUnknownOperator, h.Operator)
	}
	if !ed25519.Verify(key, h.signedBytes(), h.Signature) {
		return fmt.Errorf("version %d by %q: %w", h.Version, h.Operator, ErrBadSignature)
	}
	return nil
}

// SameContent reports whether both headers have the same version number, root
// and previous root. Operator and signature may differ.
func (h *Header) SameContent(other *Header) bool {
	return h.Version == other.Version && h.Previous == other.Previous && h.Root == other.Root
}

// signedBytes returns the signed message: version | previous root | root |
// operator. All parts but the last have a fixed length, so the encoding is
// unambiguous.
func (h *Header) signedBytes() []byte {
	buf := binary.BigEndian.AppendUint64(nil, h.Version)
	buf = append(buf, h.Previous[:]...)
	buf = append(buf, h.Root[:]...)
	return append(buf, h.Operator...)
}
