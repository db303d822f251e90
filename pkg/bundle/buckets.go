package bundle

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is a power of two. With 640,000 caller blocks a bucket holds about 625 records.
const bucketCount = 1024

// Buckets holds the digests of a bundle's records, grouped by a hash of their keys.
type Buckets struct {
	digests [bucketCount]Digest
}

// NewBuckets computes all bucket digests of a canonical bundle.
func NewBuckets(b *Bundle) *Buckets {
	all := make([]bool, bucketCount)
	for i := range all {
		all[i] = true
	}
	s := &Buckets{}
	s.compute(b, all)
	return s
}

// Update returns the bucket digests after changes; next is the bundle that has them.
// Only buckets that hold a changed key are computed again.
func (s *Buckets) Update(next *Bundle, changes []Change) *Buckets {
	touched := make([]bool, bucketCount)
	for i := range changes {
		touched[bucketOf([]byte(changes[i].Key))] = true
	}
	updated := *s
	updated.compute(next, touched)
	return &updated
}

// Root is the digest of all content except the version number.
func (s *Buckets) Root() Digest {
	h := sha256.New()
	for i := range s.digests {
		h.Write(s.digests[i][:])
	}
	return Digest(h.Sum(nil))
}

// Root computes the digest of a canonical bundle.
func (b *Bundle) Root() Digest { return NewBuckets(b).Root() }

func (s *Buckets) compute(b *Bundle, touched []bool) {
	hashes := make([]hash.Hash, bucketCount)
	for i := range touched {
		if touched[i] {
			hashes[i] = sha256.New()
		}
	}
	var frame []byte
	b.walk(func(key, value []byte) {
		h := hashes[bucketOf(key)]
		if h == nil {
			return
		}
		// The lengths keep different splits of the same bytes apart.
		frame = binary.AppendUvarint(frame[:0], uint64(len(key)))
		frame = append(frame, key...)
		frame = binary.AppendUvarint(frame, uint64(len(value)))
		frame = append(frame, value...)
		h.Write(frame)
	})
	for i, h := range hashes {
		if h != nil {
			h.Sum(s.digests[i][:0])
		}
	}
}

func bucketOf(key []byte) int { return int(xxhash.Sum64(key) % bucketCount) }
