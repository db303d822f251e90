package spread

import (
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	// KeptDeltas is the maximum number of deltas kept, and so of versions that a
	// host may miss without needing a snapshot.
	KeptDeltas = 64
	// maxKeptBytes bounds the memory of the kept deltas. A change of all 640,000
	// caller blocks takes about 20 MB, so at most one such delta is kept.
	maxKeptBytes = 24 << 20
	// maxDeltasInAnswer is the maximum number of deltas in one answer.
	maxDeltasInAnswer = 32
)

// Recent holds the newest version and the latest deltas that lead to it. It is
// not safe for concurrent use.
type Recent struct {
	current *bundle.Version
	deltas  []bundle.Signed // consecutive, the last one leads to current
	sizes   []int           // approximate bytes of each delta
	bytes   int             // sum of sizes
}

// Answer is the reply to a host that asks for newer versions: deltas, or one
// snapshot, or nothing if the host has the newest version.
type Answer struct {
	Deltas   []bundle.Signed `cbor:"1,keyasint,omitempty"`
	Snapshot *bundle.Signed  `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether the answer holds nothing new.
func (a *Answer) Empty() bool { return len(a.Deltas) == 0 && a.Snapshot == nil }

// Current returns the newest version, or nil if there is none.
func (r *Recent) Current() *bundle.Version { return r.current }

// Deltas returns the kept deltas, oldest first.
func (r *Recent) Deltas() []bundle.Signed { return r.deltas }

// Delta returns the delta that leads to a version, and whether it is kept.
func (r *Recent) Delta(version uint64) (*bundle.Signed, bool) {
	for i := range r.deltas {
		if r.deltas[i].Header.Version == version {
			return &r.deltas[i], true
		}
	}
	return nil, false
}

// Add makes v the newest version. signed is its signed form and is kept if it is
// a delta. If it does not follow the previous version, older deltas are dropped.
func (r *Recent) Add(v *bundle.Version, signed bundle.Signed) {
	follows := r.current != nil && signed.Delta != nil && signed.Delta.From == r.current.Header.Version
	if !follows {
		r.deltas, r.sizes, r.bytes = nil, nil, 0
	}
	r.current = v
	if signed.Delta == nil {
		return
	}
	size := sizeOf(signed.Delta)
	r.deltas, r.sizes = append(r.deltas, signed), append(r.sizes, size)
	r.bytes += size
	for len(r.deltas) > KeptDeltas || r.bytes > maxKeptBytes {
		r.bytes -= r.sizes[0]
		r.deltas[0] = bundle.Signed{} // releases the changes before the slice is next copied
		r.deltas, r.sizes = r.deltas[1:], r.sizes[1:]
	}
}

// Since returns the answer for a host that holds the given version and root. A
// host that has missed more than maxDeltasInAnswer versions needs several
// answers. One that is too far behind, or whose content differs, gets a snapshot.
func (r *Recent) Since(version uint64, root bundle.Digest) (Answer, error) {
	if r.current == nil || version > r.current.Header.Version ||
		version == r.current.Header.Version && root == r.current.Header.Root {
		return Answer{}, nil
	}
	for i := range r.deltas {
		if h := &r.deltas[i].Header; h.Version == version+1 && h.Previous == root {
			end := min(i+maxDeltasInAnswer, len(r.deltas))
			return Answer{Deltas: r.deltas[i:end:end]}, nil
		}
	}
	snapshot, err := Snapshot(r.current)
	return Answer{Snapshot: snapshot}, err
}

// Snapshot returns a version as a snapshot, which applies without any earlier
// version.
func Snapshot(v *bundle.Version) (*bundle.Signed, error) {
	data, err := bundle.EncodeSnapshot(v.Bundle)
	return &bundle.Signed{Header: v.Header, Snapshot: data}, err
}

// recordOverhead approximates the memory of a change besides its key and value.
const recordOverhead = 48 // bytes

// sizeOf returns the approximate memory of a delta in bytes.
func sizeOf(d *bundle.Delta) int {
	size := 0
	for i := range d.Changes {
		size += len(d.Changes[i].Key) + len(d.Changes[i].Value) + recordOverhead
	}
	return size
}

// NewRecent returns a Recent with v as the newest version and the deltas that
// lead to it, oldest first.
func NewRecent(v *bundle.Version, deltas []bundle.Signed) *Recent {
	r := &Recent{current: v}
	for i := range deltas {
		size := sizeOf(deltas[i].Delta)
		r.deltas, r.sizes = append(r.deltas, deltas[i]), append(r.sizes, size)
		r.bytes += size
	}
	return r
}
