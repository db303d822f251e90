package bundle

import (
	"net/netip"
	"slices"
)

// maxAddedBlocks is up to how many new blocks are compared with all others one
// by one; sorting all blocks is cheaper for more.
const maxAddedBlocks = 1000

// checkChangedBlocks checks only what differs from the previous version, since
// the full check of 640,000 blocks would delay every small change.
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
	var all []placedPrefix
	for _, i := range added {
		if p, ok := c.block(i); ok {
			all = append(all, placedPrefix{p, i})
		}
	}
	if len(all) > 0 {
		c.checkOverlaps(c.withNeighbours(all), c.prefixKey)
	}
}

// sameZones reports whether all zones of the previous version still exist, so
// that unchanged blocks still name existing ones.
func (c *checker) sameZones() bool {
	for _, z := range c.previous.Zones {
		if _, ok := c.zones[z.Name]; !ok {
			return false
		}
	}
	return true
}

// addedBlocks returns the places of blocks that are new or have another zone,
// and whether they are few. Both lists are sorted by prefix text.
func (c *checker) addedBlocks() (added []int, few bool) {
	old, next := c.previous.Blocks, c.b.Blocks
	if len(old) == len(next) && len(old) > 0 && &old[0] == &next[0] {
		return nil, true // the list is shared, as Apply leaves it without changes
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

// withNeighbours returns the given blocks and all others that overlap one of them.
func (c *checker) withNeighbours(added []placedPrefix) []placedPrefix {
	slices.SortFunc(added, func(x, y placedPrefix) int { return x.prefix.Addr().Compare(y.prefix.Addr()) })
	isAdded := map[int]bool{}
	for _, a := range added {
		isAdded[a.place] = true
	}
	all := slices.Clone(added)
	for i := range c.b.Blocks {
		if isAdded[i] {
			continue
		}
		p, err := netip.ParsePrefix(c.b.Blocks[i].Prefix)
		if err == nil && overlapsAny(added, p) {
			all = append(all, placedPrefix{p, i})
		}
	}
	return all
}

// overlapsAny looks in a list sorted by address. If the list's own prefixes do
// not overlap, only the last one before p can contain p. If they do, that is
// found anyway.
func overlapsAny(sorted []placedPrefix, p netip.Prefix) bool {
	n, _ := slices.BinarySearchFunc(sorted, p.Addr(), func(a placedPrefix, addr netip.Addr) int {
		return a.prefix.Addr().Compare(addr)
	})
	return n < len(sorted) && sorted[n].prefix.Overlaps(p) || n > 0 && sorted[n-1].prefix.Overlaps(p)
}
