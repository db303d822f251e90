package desired

import (
	"slices"
	"strings"
)

// zoneOrder is the last order that changed whether an availability zone is evacuated.
type zoneOrder struct {
	Zone  string `cbor:"1,keyasint"`
	Index uint64 `cbor:"2,keyasint"` // log index of the order
}

// compareZone orders zoneOrders by zone.
func compareZone(o zoneOrder, zone string) int { return strings.Compare(o.Zone, zone) }

// overtaken reports whether a later order changed the zone after the one with the basis
// was accepted. An order without a basis is never overtaken.
func (s *State) overtaken(zone string, basis uint64) bool {
	i, found := slices.BinarySearchFunc(s.ZoneOrders, zone, compareZone)
	return found && basis > 0 && s.ZoneOrders[i].Index > basis
}

// recordZoneOrder records that the order at an index changed the zone.
func (s *State) recordZoneOrder(zone string, index uint64) {
	list := slices.Clone(s.ZoneOrders)
	i, found := slices.BinarySearchFunc(list, zone, compareZone)
	if !found {
		list = slices.Insert(list, i, zoneOrder{Zone: zone})
	}
	list[i].Index = index
	s.ZoneOrders = list
}
