package affinity

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table orders the targets of one service for each object. It is immutable.
type Table struct {
	targets []Target // sorted by name
	seeds   []uint64
	splits  map[string]Split // by region of the caller
	regions []string         // sorted
}

// NewTable returns a table of the targets with the splits of each region's callers.
func NewTable(targets []Target, splits map[string]Split) *Table {
	t := &Table{targets: slices.Clone(targets), splits: splits}
	slices.SortFunc(t.targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	for _, target := range t.targets {
		t.seeds = append(t.seeds, xxhash.Sum64String(target.Name))
		if at, found := slices.BinarySearch(t.regions, target.Region); !found {
			t.regions = slices.Insert(t.regions, at, target.Region)
		}
	}
	return t
}

// Len is the number of targets.
func (t *Table) Len() int { return len(t.targets) }

// Object identifies what a request concerns.
func Object(scope, key string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(scope) // a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	return h.Sum64()
}

// Order returns the targets for an object of a caller in region, best first:
// those of the region that serves the object, then all others, each by rank.
func (t *Table) Order(region string, object uint64, allowed func(region string) bool) []Target {
	serving := t.servingRegion(region, object, allowed)
	type ranked struct {
		index int
		first bool
		score float64
	}
	list := make([]ranked, 0, len(t.targets))
	for i, target := range t.targets {
		if !allowed(target.Region) || target.Slots <= 0 {
			continue
		}
		point := unit(mix(object ^ t.seeds[i]))
		score := -math.Log(point) / float64(target.Slots)
		list = append(list, ranked{i, target.Region == serving, score})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.first != b.first {
			if a.first {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.score, b.score)
	})
	targets := make([]Target, len(list))
	for i, r := range list {
		targets[i] = t.targets[r.index]
	}
	return targets
}

// servingRegion picks the region that serves an object by the splits.
func (t *Table) servingRegion(region string, object uint64, allowed func(string) bool) string {
	split := t.splits[region]
	sum := 0.0
	for _, r := range t.regions {
		if allowed(r) {
			sum += split[r]
		}
	}
	if sum <= 0 {
		return ""
	}
	at := unit(mix(object^regionSalt)) * sum
	// The own region comes first on the line, so that a change of its part
	// moves as few objects as possible.
	if allowed(region) {
		if at -= split[region]; at < 0 {
			return region
		}
	}
	last := ""
	for _, r := range t.regions {
		if r == region || !allowed(r) || split[r] <= 0 {
			continue
		}
		last = r
		if at -= split[r]; at < 0 {
			return r
		}
	}
	return last
}

// regionSalt makes the choice of a region independent of that of a target.
const regionSalt = 0x9e3779b97f4a7c15

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// unit maps x to (0, 1).
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
