package bundle

import (
	"net/netip"
	"slices"
)

// maxAddedBlocks is the maximum number of new blocks for which each existing
// block is compared with them. Above it, sorting all blocks is cheaper.
const maxAddedBlocks = 1000

// checkChangedBlocks checks only the blocks that differ from the previous
// version, since the full check of 640,000 blocks would delay every small change.
// It falls back to the full check if zones were removed or many blocks are new.
func (c *checker) checkChangedBlocks() {
	if c.previous == nil || !c.sameZones() {
		c.checkBlocks()
		return
	}
	added, few := c.addedBlocks()
	if !few {
		c.checkBlocks()
		return
	}
	var all []indexedPrefix
	for _, i := range added {
		if p, ok := c.block(i); ok {
			all = append(all, indexedPrefix{p, i})
		}
	}
	if len(all) > 0 {
		c.checkOverlaps(c.withOverlapping(all), c.prefixKey)
	}
}

// sameZones reports whether all zones of the previous version still exist, so
// that unchanged blocks cannot refer to a removed one.
func (c *checker) sameZones() bool {
	for _, z := range c.previous.Zones {
		if _, ok := c.zones[z.Name]; !ok {
			return false
		}
	}
	return true
}

// addedBlocks returns the indexes of the blocks that are new or have another
// zone. few is false, and the list nil, if there are more than maxAddedBlocks or
// if the blocks are not sorted by prefix text, as the comparison needs.
func (c *checker) addedBlocks() (added []int, few bool) {
	old, next := c.previous.Blocks, c.b.Blocks
	if len(old) == len(next) && len(old) > 0 && &old[0] == &next[0] {
		return nil, true // Apply shares a list without changes
	}
	j := 0
	for i := range next {
		for j < len(old) && old[j].Prefix < next[i].Prefix {
			j++
		}
		if j == len(old) || old[j] != next[i] {
			added = append(added, i)
		}
		if len(added) > maxAddedBlocks || i > 0 && next[i-1].Prefix >= next[i].Prefix {
			return nil, false
		}
	}
	return added, true
}

// withOverlapping returns the added blocks and all others that overlap one of them.
func (c *checker) withOverlapping(added []indexedPrefix) []indexedPrefix {
	slices.SortFunc(added, func(x, y indexedPrefix) int { return x.prefix.Addr().Compare(y.prefix.Addr()) })
	isAdded := map[int]bool{}
	for _, a := range added {
		isAdded[a.index] = true
	}
	all := slices.Clone(added)
	for i := range c.b.Blocks {
		if isAdded[i] {
			continue
		}
		p, err := netip.ParsePrefix(c.b.Blocks[i].Prefix)
		if err == nil && overlapsAny(added, p) {
			all = append(all, indexedPrefix{p, i})
		}
	}
	return all
}

// overlapsAny reports whether p overlaps a prefix of a list sorted by address. It
// looks only at the prefixes next to p: among prefixes that do not overlap each
// other, only the last one before p can contain p. If they do overlap each other,
// checkOverlaps adds a finding for that in any case.
func overlapsAny(sorted []indexedPrefix, p netip.Prefix) bool {
	n, _ := slices.BinarySearchFunc(sorted, p.Addr(), func(a indexedPrefix, addr netip.Addr) int {
		return a.prefix.Addr().Compare(addr)
	})
	return n < len(sorted) && sorted[n].prefix.Overlaps(p) || n > 0 && sorted[n-1].prefix.Overlaps(p)
}
