package bundle

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets, a power of two. With 640,000 caller
// blocks a bucket holds about 625 records.
const bucketCount = 1024

// Buckets holds one digest for each bucket of a bundle's records. A hash of the
// key assigns a record to its bucket, so that a small change updates few digests.
type Buckets struct {
	digests [bucketCount]Digest
}

// NewBuckets computes the bucket digests of a canonical bundle.
func NewBuckets(b *Bundle) *Buckets {
	all := make([]bool, bucketCount)
	for i := range all {
		all[i] = true
	}
	s := &Buckets{}
	s.compute(b, all)
	return s
}

// Update returns the bucket digests of next, the canonical bundle that results
// from the changes. It recomputes only the buckets that hold a changed key.
func (s *Buckets) Update(next *Bundle, changes []Change) *Buckets {
	touched := make([]bool, bucketCount)
	for i := range changes {
		touched[bucketOf([]byte(changes[i].Key))] = true
	}
	updated := *s
	updated.compute(next, touched)
	return &updated
}

// Root returns the digest of all content except the version number.
func (s *Buckets) Root() Digest {
	h := sha256.New()
	for i := range s.digests {
		h.Write(s.digests[i][:])
	}
	return Digest(h.Sum(nil))
}

// Root computes the digest of a canonical bundle; the version number is not part
// of it.
func (b *Bundle) Root() Digest { return NewBuckets(b).Root() }

// compute sets the digests of the touched buckets from the records of b.
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
		// The length prefixes make the encoding unambiguous: the same bytes split
		// differently into key and value get another digest.
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
