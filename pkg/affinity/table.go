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
	layout  Layout
	regions []string // sorted
}

// NewTable returns a table of the targets, with objects divided over regions and zones
// by the layout.
func NewTable(targets []Target, layout Layout) *Table {
	t := &Table{targets: slices.Clone(targets), layout: layout}
	slices.SortFunc(t.targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
	for _, target := range t.targets {
		t.seeds = append(t.seeds, xxhash.Sum64String(target.Name))
		if at, found := slices.BinarySearch(t.regions, target.Region); !found {
			t.regions = slices.Insert(t.regions, at, target.Region)
		}
	}
	return t
}

// Len returns the number of targets.
func (t *Table) Len() int { return len(t.targets) }

// Object returns the hash that identifies an object. scope separates objects with equal
// keys.
func Object(scope, key string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(scope) // writing to a hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	return h.Sum64()
}

// Point maps a key to a number in (0, 1), which is the same on all hosts.
func Point(scope, key string) float64 { return toUnitInterval(mix(Object(scope, key))) }

// Order returns the targets for an object of a caller, best first: those of the region
// that serves the object, then all others, each group in rendezvous order. bulk says
// that the response is large. For most objects of bulk requests, the targets of the
// caller's availability zone come before all others. allowed reports whether the
// targets of a region may be used.
func (t *Table) Order(caller Location, object uint64, bulk bool, allowed func(region string) bool) []Target {
	splits, preferredZone := t.layout.normal, ""
	if bulk {
		splits = t.layout.bulk
		if toUnitInterval(mix(object^zoneSalt)) < t.layout.zoneShares[caller.Zone] {
			preferredZone = caller.Zone
		}
	}
	serving := t.servingRegion(splits[caller.Region], caller.Region, object, allowed)
	type ranked struct {
		index int
		group int // lower groups come first
		score float64
	}
	list := make([]ranked, 0, len(t.targets))
	for i, target := range t.targets {
		if !allowed(target.Region) || target.Slots <= 0 {
			continue
		}
		point := toUnitInterval(mix(object ^ t.seeds[i]))
		score := -math.Log(point) / float64(target.Slots)
		group := groupOther
		if target.Region == serving {
			group = groupServingRegion
			if target.Zone == preferredZone {
				group = groupCallerZone
			}
		}
		list = append(list, ranked{i, group, score})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.score, b.score))
	})
	targets := make([]Target, len(list))
	for i, r := range list {
		targets[i] = t.targets[r.index]
	}
	return targets
}

// Groups of targets in the order for an object, best first.
const (
	groupCallerZone    = iota // in the caller's zone, within the region that serves the object
	groupServingRegion        // in the region that serves the object
	groupOther
)

// servingRegion returns the region that serves an object. split holds the shares for
// the callers of region. It returns an empty string if no allowed region has a share.
func (t *Table) servingRegion(split Split, region string, object uint64, allowed func(string) bool) string {
	sum := 0.0
	for _, r := range t.regions {
		if allowed(r) {
			sum += split[r]
		}
	}
	if sum <= 0 {
		return ""
	}
	at := toUnitInterval(mix(object^regionSalt)) * sum
	// The caller's own region has the first interval, so that a change of its share
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

// zoneSalt makes the choice of a zone independent of those of the region and target.
const zoneSalt = 0x94d049bb133111eb

// mix is the finalizer of SplitMix64. It spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// toUnitInterval maps x to (0, 1).
func toUnitInterval(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
