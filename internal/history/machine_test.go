package history

import (
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// operators holds private keys by operator name.
type operators map[string]ed25519.PrivateKey

// newOperators returns two operators with keys generated from fixed seeds.
func newOperators() operators {
	o := operators{}
	for _, name := range []string{"ann", "ben"} {
		seed := make([]byte, ed25519.SeedSize)
		copy(seed, name)
		o[name] = ed25519.NewKeyFromSeed(seed)
	}
	return o
}

func (o operators) public() map[string]ed25519.PublicKey {
	keys := map[string]ed25519.PublicKey{}
	for name, key := range o {
		keys[name] = key.Public().(ed25519.PublicKey)
	}
	return keys
}

func demo(t testing.TB) *bundle.Bundle {
	t.Helper()
	text, err := os.ReadFile("../../examples/demo.toml")
	if err != nil {
		t.Fatal(err)
	}
	b, found := bundle.Parse("demo.toml", text)
	if len(found) > 0 {
		t.Fatal(found)
	}
	return b
}

// next returns the version after b, with another request timeout of the first service.
func next(b *bundle.Bundle, timeoutMs int) *bundle.Bundle {
	changed := *b
	changed.Version++
	changed.Services = append([]bundle.Service(nil), b.Services...)
	changed.Services[0].RequestTimeoutMs = timeoutMs
	return &changed
}

// command returns the encoded submission of b, signed by operator.
func (o operators) command(t testing.TB, operator string, b, previous *bundle.Bundle) []byte {
	t.Helper()
	var root bundle.Digest
	if previous != nil {
		root = previous.Root()
	}
	signed, err := bundle.NewSigned(bundle.Sign(b.Version, root, b.Root(), operator, o[operator]), b, previous)
	if err != nil {
		t.Fatal(err)
	}
	data, err := signed.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func apply(t testing.TB, m *Machine, command []byte) Result {
	t.Helper()
	r, err := DecodeResult(m.Apply(0, command))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestAcceptance(t *testing.T) {
	Convey("Given a machine with version 1", t, func() {
		ops := newOperators()
		m := New(ops.public())
		v1 := demo(t)
		first := ops.command(t, "ann", v1, nil)
		So(apply(t, m, first).Outcome, ShouldEqual, Accepted)
		v2 := next(v1, 4000)

		Convey("content submitted again gets the same result, also after later versions", func() {
			before := apply(t, m, first)
			So(apply(t, m, ops.command(t, "ben", v2, v1)).Outcome, ShouldEqual, Accepted)
			So(apply(t, m, first), ShouldResemble, before)
			So(before.Accepted.Operator, ShouldEqual, "ann")
		})
		Convey("of two submissions with equal numbers one is accepted; the other gets a conflict with its root and operator", func() {
			So(apply(t, m, ops.command(t, "ann", v2, v1)).Outcome, ShouldEqual, Accepted)
			r := apply(t, m, ops.command(t, "ben", next(v1, 4001), v1))
			So(r.Outcome, ShouldEqual, Conflict)
			So(r.Accepted.Operator, ShouldEqual, "ann")
			So(r.Accepted.Root, ShouldEqual, v2.Root())
			So(r.Message, ShouldContainSubstring, v2.Root().String())
			So(m.Current().Header.Operator, ShouldEqual, "ann")
		})
		Convey("a submitted snapshot is offered as a delta, unless most blocks changed", func() {
			var offered []bundle.Signed
			m.Subscribe(func(_ *bundle.Version, signed bundle.Signed) { offered = append(offered, signed) })
			large := next(v1, 4000)
			for i := range 600 {
				large.Blocks = append(large.Blocks, bundle.CallerBlock{Prefix: fmt.Sprintf("11.%d.%d.0/24", i/256, i%256), AvailabilityZone: "east-b"})
			}
			large.Canonicalize()
			small := next(large, 4001)
			for _, step := range [][2]*bundle.Bundle{{large, v1}, {small, large}} {
				header := bundle.Sign(step[0].Version, step[1].Root(), step[0].Root(), "ann", ops["ann"])
				signed, err := bundle.NewSigned(header, step[0], nil)
				So(err, ShouldBeNil)
				data, err := signed.Encode()
				So(err, ShouldBeNil)
				So(apply(t, m, data).Outcome, ShouldEqual, Accepted)
			}
			So(offered[1].Snapshot, ShouldNotBeNil)
			So(offered[2].Delta, ShouldNotBeNil)
		})
		Convey("a wrong previous root is a conflict", func() {
			r := apply(t, m, ops.command(t, "ann", v2, next(v1, 1)))
			So(r.Outcome, ShouldEqual, Conflict)
			So(r.Accepted.Version, ShouldEqual, 1)
		})
		Convey("a gap in the numbers is refused", func() {
			v3 := next(v2, 3999)
			So(apply(t, m, ops.command(t, "ann", v3, v2)).Outcome, ShouldEqual, Refused)
		})
		Convey("an unknown operator, the key of another operator and changed content are refused", func() {
			eve := operators{"eve": ops["ann"]}
			So(apply(t, m, eve.command(t, "eve", v2, v1)).Outcome, ShouldEqual, Refused)
			swapped := operators{"ann": ops["ben"]}
			So(apply(t, m, swapped.command(t, "ann", v2, v1)).Outcome, ShouldEqual, Refused)
			signed, err := bundle.DecodeSigned(ops.command(t, "ann", v2, v1))
			So(err, ShouldBeNil)
			signed.Delta = bundle.NewDelta(v1, next(v1, 7))
			data, err := signed.Encode()
			So(err, ShouldBeNil)
			So(apply(t, m, data).Message, ShouldContainSubstring, "signed root")
			So(apply(t, m, []byte("garbage")).Outcome, ShouldEqual, Refused)
			resent, err := bundle.DecodeSigned(first)
			So(err, ShouldBeNil)
			resent.Header.Signature[0] ^= 1
			data, err = resent.Encode()
			So(err, ShouldBeNil)
			So(apply(t, m, data).Outcome, ShouldEqual, Refused)
			So(m.Current().Header.Version, ShouldEqual, 1)
		})
		Convey("content with findings is refused with the findings", func() {
			bad := next(v1, 4000)
			bad.Drains = []bundle.Drain{{Kind: bundle.DrainRegion, Name: "east"}, {Kind: bundle.DrainRegion, Name: "west"}}
			bad.Canonicalize()
			r := apply(t, m, ops.command(t, "ann", bad, v1))
			So(r.Outcome, ShouldEqual, Refused)
			So(r.Findings, ShouldNotBeEmpty)
		})
		Convey("two entry hosts of a zone cannot change at once", func() {
			bad := next(v1, 4000)
			bad.Hosts = nil
			for _, h := range v1.Hosts {
				if h.Name != "east-a-entry-1" && h.Name != "east-a-entry-2" {
					bad.Hosts = append(bad.Hosts, h)
				}
			}
			bad.Hosts = append(bad.Hosts, bundle.Host{Name: "east-a-entry-3", AvailabilityZone: "east-a", Role: bundle.RoleEntry, Peer: "127.3.1.3:7000", HTTP: "127.3.1.3:8000"})
			bad.Canonicalize()
			r := apply(t, m, ops.command(t, "ann", bad, v1))
			So(r.Findings.Error(), ShouldContainSubstring, "change one host in each version")
		})
	})
}

// TestRaces guards against machines that diverge, or accept two contents for one
// number, when operators race and resend in any order.
func TestRaces(t *testing.T) {
	Convey("Random submissions and resends of two operators", t, func() {
		random := rand.New(rand.NewPCG(7, 1))
		ops := newOperators()
		a, b := New(ops.public()), New(ops.public())
		current := demo(t)
		sent := [][]byte{ops.command(t, "ann", current, nil)}
		answers := map[string]Result{}
		for range 400 {
			command := sent[random.IntN(len(sent))]
			if v := a.Current(); v != nil && random.IntN(2) == 0 {
				name := []string{"ann", "ben"}[random.IntN(2)]
				command = ops.command(t, name, next(v.Bundle, 1000+random.IntN(3)), v.Bundle)
				sent = append(sent, command)
			}
			r := apply(t, a, command)
			So(apply(t, b, command), ShouldResemble, r)
			if old, ok := answers[string(command)]; ok && old.Outcome != Refused {
				So(r.Outcome, ShouldEqual, old.Outcome)
			}
			answers[string(command)] = r
			if random.IntN(20) == 0 { // b restarts from a snapshot
				b = New(ops.public())
				So(b.Restore(a.Snapshot()), ShouldBeNil)
			}
		}
		So(b.Snapshot(), ShouldResemble, a.Snapshot())
		So(a.Current().Header.Version, ShouldBeGreaterThan, 50)
		for v := uint64(2); v <= a.Current().Header.Version; v++ {
			h, _ := b.Header(v)
			if err := h.Verify(ops.public()); err != nil {
				t.Fatal(err) // guards against headers that lose their signature in a snapshot
			}
			before, _ := a.Header(v - 1)
			if h.Previous != before.Root {
				t.Fatalf("version %d does not follow version %d", v, v-1)
			}
		}
	})
}

// TestRestore guards against a snapshot with foreign content being put in force.
func TestRestore(t *testing.T) {
	Convey("Given a snapshot", t, func() {
		ops := newOperators()
		m := New(ops.public())
		v1 := demo(t)
		apply(t, m, ops.command(t, "ann", v1, nil))
		Convey("damaged or foreign content is refused and the state stays", func() {
			other := New(ops.public())
			So(other.Restore([]byte("garbage")), ShouldNotBeNil)
			data := m.Snapshot()
			for i := range data { // one changed byte in the name of the deployment
				if string(data[i:min(i+4, len(data))]) == "demo" {
					data[i] = 'D'
					break
				}
			}
			So(other.Restore(data), ShouldNotBeNil)
			So(other.Current(), ShouldBeNil)
		})
		Convey("malformed headers are refused", func() {
			for _, bad := range []headers{{packed: make([]byte, entryBytes+1)}, {packed: make([]byte, entryBytes)}} {
				data, err := stateEncoding.Marshal(&state{Operators: bad.operators, Headers: bad.packed})
				So(err, ShouldBeNil)
				So(m.Restore(data), ShouldNotBeNil)
				So(m.Current().Header.Version, ShouldEqual, 1)
			}
		})
		Convey("an empty machine survives a snapshot", func() {
			other := New(ops.public())
			So(other.Restore(New(ops.public()).Snapshot()), ShouldBeNil)
			So(apply(t, other, ops.command(t, "ann", v1, nil)).Outcome, ShouldEqual, Accepted)
		})
	})
}
