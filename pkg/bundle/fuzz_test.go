package bundle

import "testing"

// FuzzParse guards against crashes on any file, and against accepted files whose
// content changes when it is encoded, as TOML or as a snapshot, and decoded again.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"demo.toml", "ireland.toml"} {
		f.Add([]byte(exampleText(f, name)))
	}
	for _, c := range badInputs {
		f.Add([]byte(c.new))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		b, found := Parse("fuzz.toml", text)
		if len(found) > 0 {
			return
		}
		rendered, err := b.TOML()
		if err != nil {
			t.Fatal(err)
		}
		again, found := Parse("again.toml", rendered)
		if len(found) > 0 {
			t.Fatalf("the TOML form of an accepted bundle has findings: %v\n%s", found, rendered)
		}
		snapshot, err := EncodeSnapshot(b)
		if err != nil {
			t.Fatal(err)
		}
		restored, err := DecodeSnapshot(snapshot)
		if err != nil || again.Root() != b.Root() || restored.Root() != b.Root() {
			t.Fatalf("content changed in the TOML form or the snapshot, decode error: %v", err)
		}
	})
}

// FuzzSigned guards against crashes and large allocations in the decoders of
// deltas and snapshots, and against incremental digests that differ from the
// digest of the bundle after a delta was applied.
func FuzzSigned(f *testing.F) {
	demo, found := Parse("demo.toml", []byte(exampleText(f, "demo.toml")))
	if len(found) > 0 {
		f.Fatal(found)
	}
	next := *demo
	next.Version = 2
	next.Drains = []Drain{{Kind: DrainZone, Name: "east-a"}}
	next.Blocks = next.Blocks[1:]
	for _, signed := range []*Signed{{Delta: NewDelta(demo, &next)}, {Snapshot: mustSnapshot(f, demo)}} {
		data, err := signed.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		signed, err := DecodeSigned(data)
		if err != nil {
			return
		}
		if signed.Snapshot != nil {
			_, _ = DecodeSnapshot(signed.Snapshot)
		}
		if signed.Delta == nil {
			return
		}
		applied, err := Apply(demo, signed.Delta)
		if err != nil {
			return
		}
		if NewBuckets(demo).Update(applied, signed.Delta.Changes).Root() != applied.Root() {
			t.Fatal("incremental root differs from the root of the whole bundle")
		}
	})
}

func mustSnapshot(f *testing.F, b *Bundle) []byte {
	f.Helper()
	data, err := EncodeSnapshot(b)
	if err != nil {
		f.Fatal(err)
	}
	return data
}
