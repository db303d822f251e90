package bundle

import (
	"errors"
	"fmt"
	"strings"
)

// Change sets or removes one record; see Record for the form of the key.
type Change struct {
	Key     string `cbor:"1,keyasint" json:"key"`
	Value   []byte `cbor:"2,keyasint,omitempty" json:"value,omitempty"`
	Removed bool   `cbor:"3,keyasint,omitempty" json:"removed,omitempty"`
}

// Diff returns the changes that turn one canonical bundle into another, in
// canonical order. It ignores the version numbers.
func Diff(from, to *Bundle) []Change {
	var changes []Change
	for _, k := range recordKinds {
		k.diff(from, to, func(c Change) { changes = append(changes, c) })
	}
	return changes
}

// Delta holds the changes from one version to the next.
type Delta struct {
	From    uint64   `cbor:"1,keyasint" json:"from"`
	To      uint64   `cbor:"2,keyasint" json:"to"`
	Changes []Change `cbor:"3,keyasint" json:"changes"`
}

// NewDelta returns the delta between two canonical bundles.
func NewDelta(from, to *Bundle) *Delta {
	return &Delta{From: from.Version, To: to.Version, Changes: Diff(from, to)}
}

// ErrWrongVersion means that a delta starts from another version than the bundle's
// or does not lead to a later one.
var ErrWrongVersion = errors.New("delta starts from another version")

// Apply returns the bundle that results from applying the delta to from. It does
// not modify from; unchanged lists are shared by both bundles.
func Apply(from *Bundle, d *Delta) (*Bundle, error) {
	if d.From != from.Version || d.To <= d.From {
		return nil, fmt.Errorf("%w: have %d, delta is from %d to %d", ErrWrongVersion, from.Version, d.From, d.To)
	}
	next := &Bundle{Version: d.To}
	rest := d.Changes
	for _, k := range recordKinds {
		n := 0
		for n < len(rest) && strings.HasPrefix(rest[n].Key, k.name()+"/") {
			n++
		}
		own := rest[:n]
		rest = rest[n:]
		for i := 1; i < n; i++ {
			if own[i-1].Key >= own[i].Key {
				return nil, fmt.Errorf("record %s is not in order or occurs twice", own[i].Key)
			}
		}
		if err := k.apply(from, next, own); err != nil {
			return nil, err
		}
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("record %s is of an unknown kind or not in order", rest[0].Key)
	}
	return next, nil
}
