package rollout

import (
	"crypto/ed25519"
	"errors"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

var (
	annKey       = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	operatorKeys = map[string]ed25519.PublicKey{"ann": annKey.Public().(ed25519.PublicKey)}
)

// example parses a bundle of the examples folder.
func example(t testing.TB, name string) *bundle.Bundle {
	t.Helper()
	text, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	b, found := bundle.Parse(name, text)
	if len(found) > 0 {
		t.Fatal(found)
	}
	return b
}

// versions returns n consecutive signed versions of a bundle: a snapshot followed
// by deltas.
func versions(t testing.TB, b *bundle.Bundle, n int) []*bundle.Signed {
	t.Helper()
	var all []*bundle.Signed
	var previous *bundle.Bundle
	var root bundle.Digest
	for i := range n {
		next := *b
		next.Version = uint64(i + 1)
		next.Services = append([]bundle.Service(nil), b.Services...)
		next.Services[0].RequestTimeoutMs = 1000 + i
		signed, err := bundle.NewSigned(bundle.Sign(next.Version, root, next.Root(), "ann", annKey), &next, previous)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, signed)
		previous, root = &next, next.Root()
	}
	return all
}

// TestHolderOrder guards against a holder that returns to an older version or
// notifies subscribers out of order when offers are reordered, repeated or lost.
func TestHolderOrder(t *testing.T) {
	Convey("Offers in random order, repeated and lost", t, func() {
		random := rand.New(rand.NewPCG(11, 2))
		all := versions(t, example(t, "demo.toml"), 200)
		source, h := NewHolder(operatorKeys), NewHolder(operatorKeys)
		seen := uint64(0)
		h.Subscribe(func(a *ActiveVersion) {
			So(a.Version, ShouldBeGreaterThan, seen)
			So(a.Root, ShouldEqual, a.Bundle.Root())
			seen = a.Version
		})
		for i, signed := range all {
			_, err := source.Put(signed)
			So(err, ShouldBeNil)
			for range 3 {
				offered := all[max(0, i-random.IntN(6))]
				before := h.Current()
				changed, err := h.Put(offered)
				if err != nil {
					So(errors.Is(err, bundle.ErrGap), ShouldBeTrue)
				}
				So(changed, ShouldEqual, h.Current() != before)
			}
			if random.IntN(10) == 0 {
				pull(t, source, h)
				So(h.Current().Version, ShouldEqual, source.Current().Version)
			}
		}
		pull(t, source, h)
		So(h.Current().Root, ShouldEqual, source.Current().Root)
	})
}

// pull transfers all newer versions from source to h, as fetch does but without a
// network.
func pull(t *testing.T, source, h *Holder) {
	t.Helper()
	for changed := true; changed; {
		var version uint64
		var root bundle.Digest
		if a := h.Current(); a != nil {
			version, root = a.Version, a.Root
		}
		answer, err := source.Since(version, root)
		So(err, ShouldBeNil)
		reply, err := encodeAnswer(answer)
		So(err, ShouldBeNil)
		So(len(reply.Deltas), ShouldBeLessThanOrEqualTo, 32)
		changed, err = h.putAll(reply)
		So(err, ShouldBeNil)
	}
}

// TestHolderRefuses guards against putting a version in force whose signature,
// operator or content does not match.
func TestHolderRefuses(t *testing.T) {
	Convey("Given version 1 in force", t, func() {
		all := versions(t, example(t, "demo.toml"), 3)
		h := NewHolder(operatorKeys)
		_, err := h.Put(all[0])
		So(err, ShouldBeNil)
		Convey("a changed signature, an unknown operator and changed content are refused", func() {
			bad := *all[1]
			bad.Header.Signature = append([]byte(nil), bad.Header.Signature...)
			bad.Header.Signature[3] ^= 1
			_, err := h.Put(&bad)
			So(errors.Is(err, bundle.ErrBadSignature), ShouldBeTrue)
			bad = *all[1]
			bad.Header.Operator = "eve"
			_, err = h.Put(&bad)
			So(errors.Is(err, bundle.ErrUnknownOperator), ShouldBeTrue)
			bad = *all[1]
			bad.Delta = &bundle.Delta{From: 1, To: 2}
			_, err = h.Put(&bad)
			So(errors.Is(err, bundle.ErrWrongRoot), ShouldBeTrue)
			So(h.Current().Version, ShouldEqual, 1)
		})
		Convey("a version with the same number and different content is an error and changes nothing", func() {
			other := *example(t, "demo.toml")
			other.Deployment = "other"
			signed, err := bundle.NewSigned(bundle.Sign(1, bundle.Digest{}, other.Root(), "ann", annKey), &other, nil)
			So(err, ShouldBeNil)
			_, err = h.Put(signed)
			So(err, ShouldNotBeNil)
			So(h.Current().Bundle.Deployment, ShouldEqual, "demo")
		})
		Convey("a delta from another root is refused as a gap, and a pull repairs it", func() {
			other := *example(t, "demo.toml")
			other.Services = nil
			signed, err := bundle.NewSigned(bundle.Sign(1, bundle.Digest{}, other.Root(), "ann", annKey), &other, nil)
			So(err, ShouldBeNil)
			foreign := NewHolder(operatorKeys)
			_, err = foreign.Put(signed)
			So(err, ShouldBeNil)
			_, err = foreign.Put(all[1])
			So(errors.Is(err, bundle.ErrGap), ShouldBeTrue)
			_, err = h.Put(all[1])
			So(err, ShouldBeNil)
			pull(t, h, foreign)
			So(foreign.Current().Root, ShouldEqual, h.Current().Root)
		})
		Convey("a host that is far behind gets one snapshot", func() {
			source := NewHolder(operatorKeys)
			for _, signed := range versions(t, example(t, "demo.toml"), spread.KeptDeltas+10) {
				_, err := source.Put(signed)
				So(err, ShouldBeNil)
			}
			answer, err := source.Since(1, h.Current().Root)
			So(err, ShouldBeNil)
			So(answer.Snapshot, ShouldNotBeNil)
			pull(t, source, h)
			So(h.Current().Version, ShouldEqual, spread.KeptDeltas+10)
		})
	})
}
