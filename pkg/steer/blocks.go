package steer

import (
	"fmt"
	"net/netip"

	"github.com/gaissmai/bart"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Blocks maps caller addresses to the index of their home availability zone. It uses
// about 35 bytes of memory per block.
type Blocks struct {
	table *bart.Table[uint16]
	index map[string]uint16 // zone index by name
	names []string          // zone name by index
}

// NewBlocks builds the table of a bundle. It returns an error for a block with an invalid
// prefix or an unknown availability zone.
func NewBlocks(zones []bundle.AvailabilityZone, blocks []bundle.CallerBlock) (*Blocks, error) {
	b := &Blocks{table: new(bart.Table[uint16]), index: make(map[string]uint16, len(zones))}
	for _, z := range zones {
		b.addZone(z.Name)
	}
	for _, block := range blocks {
		prefix, zone, err := b.resolve(block)
		if err != nil {
			return nil, err
		}
		b.table.Insert(prefix, zone)
	}
	return b, nil
}

// With returns a copy in which some blocks are set and others removed. b is unchanged and
// shares most of its memory with the copy. Zones keep their indexes; the index of a
// removed zone stays unused.
func (b *Blocks) With(zones []bundle.AvailabilityZone, set, removed []bundle.CallerBlock) (*Blocks, error) {
	next := &Blocks{table: b.table, index: make(map[string]uint16, len(zones)), names: append([]string(nil), b.names...)}
	for name, i := range b.index {
		next.index[name] = i
	}
	for _, z := range zones {
		next.addZone(z.Name)
	}
	for _, block := range removed {
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			return nil, fmt.Errorf("caller block %q: %w", block.Prefix, err)
		}
		next.table = next.table.DeletePersist(prefix)
	}
	for _, block := range set {
		prefix, zone, err := next.resolve(block)
		if err != nil {
			return nil, err
		}
		next.table = next.table.InsertPersist(prefix, zone)
	}
	return next, nil
}

// Home returns the index of the home availability zone of a caller, and false if its
// address is in no block.
func (b *Blocks) Home(caller netip.Addr) (zone uint16, ok bool) {
	return b.table.Lookup(caller)
}

// ZoneIndex returns the index of an availability zone, and whether the zone is known.
func (b *Blocks) ZoneIndex(name string) (uint16, bool) {
	i, ok := b.index[name]
	return i, ok
}

// ZoneName returns the name of the availability zone with the given index.
func (b *Blocks) ZoneName(i uint16) string { return b.names[i] }

// Len returns the number of blocks.
func (b *Blocks) Len() int { return b.table.Size() }

func (b *Blocks) addZone(name string) {
	if _, ok := b.index[name]; ok {
		return
	}
	b.index[name] = uint16(len(b.names))
	b.names = append(b.names, name)
}

func (b *Blocks) resolve(block bundle.CallerBlock) (netip.Prefix, uint16, error) {
	prefix, err := netip.ParsePrefix(block.Prefix)
	if err != nil {
		return prefix, 0, fmt.Errorf("caller block %q: %w", block.Prefix, err)
	}
	zone, ok := b.index[block.AvailabilityZone]
	if !ok {
		return prefix, 0, fmt.Errorf("caller block %s: availability zone %q does not exist", block.Prefix, block.AvailabilityZone)
	}
	return prefix, zone, nil
}
