package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"
)

// Signed is a signed version with its content, either a delta from the previous
// version or a snapshot. Files written by `hornbeamctl bundle sign` hold a snapshot.
type Signed struct {
	Header   Header `cbor:"1,keyasint" json:"header"`
	Delta    *Delta `cbor:"2,keyasint,omitempty" json:"delta,omitempty"`
	Snapshot []byte `cbor:"3,keyasint,omitempty" json:"snapshot,omitempty"`
}

// Version is a verified bundle with its header and bucket digests, which are
// needed to apply the next delta.
type Version struct {
	Header  Header
	Bundle  *Bundle
	Buckets *Buckets
}

// ErrWrongRoot means that the digest of the content differs from the signed one.
var ErrWrongRoot = errors.New("content does not match the signed root")

// ErrGap means that a delta starts from another version or root than the base.
var ErrGap = errors.New("delta does not follow the version held")

// Open verifies the signature and the digest of a signed version and returns its
// content. base is the version that a delta is applied to, or nil if the caller
// has none.
func (s *Signed) Open(base *Version, keys map[string]ed25519.PublicKey) (*Version, error) {
	if err := s.Header.Verify(keys); err != nil {
		return nil, err
	}
	next, err := s.content(base)
	if err != nil {
		return nil, err
	}
	if root := next.Buckets.Root(); root != s.Header.Root {
		return nil, fmt.Errorf("version %d: %w: have %s, signed %s", s.Header.Version, ErrWrongRoot, root, s.Header.Root)
	}
	return next, nil
}

// content decodes the snapshot or applies the delta to base. It does not compare
// the digest with the signed one.
func (s *Signed) content(base *Version) (*Version, error) {
	if s.Delta == nil {
		b, err := DecodeSnapshot(s.Snapshot)
		if err != nil {
			return nil, err
		}
		b.Version = s.Header.Version
		return &Version{Header: s.Header, Bundle: b, Buckets: NewBuckets(b)}, nil
	}
	if base == nil || s.Delta.From != base.Header.Version || s.Delta.To != s.Header.Version || s.Header.Previous != base.Header.Root {
		return nil, fmt.Errorf("version %d: %w", s.Header.Version, ErrGap)
	}
	b, err := Apply(base.Bundle, s.Delta)
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", s.Header.Version, err)
	}
	return &Version{Header: s.Header, Bundle: b, Buckets: base.Buckets.Update(b, s.Delta.Changes)}, nil
}
