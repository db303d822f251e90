package bundle

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The seed is fixed so that the same command reproduces a failure.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// drawBlocks returns random blocks of a small address range, so that equal and
// overlapping ones are common.
func drawBlocks(t *rapid.T, least, most int) []CallerBlock {
	var blocks []CallerBlock
	for range rapid.IntRange(least, most).Draw(t, "blocks") {
		bits := rapid.IntRange(20, 24).Draw(t, "bits")
		third := rapid.IntRange(0, 63).Draw(t, "third") >> (24 - bits) << (24 - bits)
		zone := rapid.SampledFrom([]string{"east-a", "east-b", "west-a"}).Draw(t, "zone")
		blocks = append(blocks, CallerBlock{Prefix: fmt.Sprintf("10.9.%d.0/%d", third, bits), AvailabilityZone: zone})
	}
	return blocks
}

// editBundle returns the next version of a bundle with random changes of services,
// drains, hosts and blocks.
func editBundle(t *rapid.T, b *Bundle) *Bundle {
	next := *b
	next.Version++
	next.Services = append([]Service(nil), b.Services...)
	next.Services[0].RequestTimeoutMs = rapid.IntRange(1, 5).Draw(t, "timeout")
	next.Drains = nil
	for _, name := range []string{"east-a", "east-b"} {
		if rapid.Bool().Draw(t, "drain") {
			next.Drains = append(next.Drains, Drain{Kind: DrainZone, Name: name})
		}
	}
	next.Hosts = nil
	for _, h := range b.Hosts {
		if rapid.IntRange(0, 9).Draw(t, "drop") > 0 {
			next.Hosts = append(next.Hosts, h)
		}
	}
	kept := map[string]bool{}
	next.Blocks = nil
	for _, block := range append(drawBlocks(t, 0, 5), b.Blocks...) {
		if !kept[block.Prefix] && rapid.IntRange(0, 9).Draw(t, "keep") > 0 {
			kept[block.Prefix] = true
			next.Blocks = append(next.Blocks, block)
		}
	}
	next.Canonicalize()
	return &next
}

// TestDeltaProperty guards against deltas that lose a change, and against
// incremental digests or snapshots that differ from the bundle.
func TestDeltaProperty(t *testing.T) {
	demo, found := Parse("demo.toml", []byte(exampleText(t, "demo.toml")))
	if len(found) > 0 {
		t.Fatal(found)
	}
	rapid.Check(t, func(t *rapid.T) {
		b := demo
		buckets := NewBuckets(b)
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			next := editBundle(t, b)
			signed := &Signed{Delta: NewDelta(b, next)}
			data, err := signed.Encode()
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeSigned(data)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Apply(b, decoded.Delta)
			if err != nil {
				t.Fatal(err)
			}
			if changes := Diff(got, next); len(changes) > 0 || got.Version != next.Version {
				t.Fatalf("version %d differs from the expected bundle after the delta: %v", got.Version, changes)
			}
			buckets = buckets.Update(got, decoded.Delta.Changes)
			if buckets.Root() != next.Root() {
				t.Fatalf("incremental root %s, full root %s", buckets.Root(), next.Root())
			}
			snapshot, err := EncodeSnapshot(got)
			if err != nil {
				t.Fatal(err)
			}
			if again, err := DecodeSnapshot(snapshot); err != nil || again.Root() != next.Root() {
				t.Fatalf("snapshot differs from the bundle, decode error: %v", err)
			}
			b = next
		}
	})
}

// TestIncrementalCheck guards against a block problem that the check of a change
// misses although the check of the whole bundle finds it.
func TestIncrementalCheck(t *testing.T) {
	demo, _ := Parse("demo.toml", []byte(exampleText(t, "demo.toml")))
	rapid.Check(t, func(t *rapid.T) {
		previous := *demo
		previous.Blocks = withoutOverlaps(drawBlocks(t, 0, 12))
		previous.Canonicalize()
		next := previous
		next.Version++
		next.Blocks = append(append([]CallerBlock(nil), previous.Blocks...), drawBlocks(t, 0, 3)...)
		if rapid.Bool().Draw(t, "bad zone") && len(next.Blocks) > 0 {
			next.Blocks[len(next.Blocks)-1].AvailabilityZone = "nowhere"
		}
		next.Canonicalize()
		full, step := CheckContent("b", &next), Check(&next, &previous)
		if (len(full) == 0) != (len(step) == 0) {
			t.Fatalf("full check: %v\nchange check: %v", full, step)
		}
	})
}

// withoutOverlaps returns the blocks without those that overlap an earlier one.
func withoutOverlaps(blocks []CallerBlock) []CallerBlock {
	var kept []CallerBlock
	for _, block := range blocks {
		p, _ := parsePrefix(block.Prefix)
		free := true
		for _, k := range kept {
			other, _ := parsePrefix(k.Prefix)
			free = free && !p.Overlaps(other)
		}
		if free {
			kept = append(kept, block)
		}
	}
	return kept
}
