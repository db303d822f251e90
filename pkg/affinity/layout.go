package affinity

// bulkHeadroom is the load per slot, in multiples of the average, up to which a region
// or an availability zone serves the bulk requests of its own callers; the rest is
// served elsewhere. It may be high because bulk requests are a small part of all work
// but cause most of the traffic.
const bulkHeadroom = 2

// Layout says in which regions and availability zones the objects of each region's
// callers are served. It depends only on locations and slots, so that changes of
// traffic move no objects.
type Layout struct {
	normal     map[string]Split   // by region of the caller
	bulk       map[string]Split   // the same for bulk requests
	zoneShares map[string]float64 // by zone: share of its callers' bulk objects that it serves, of those that its region serves
}

// NewLayout divides the objects over the targets. regions holds the region of each
// availability zone. All zones are assumed to have equal demand.
func NewLayout(regions map[string]string, targets []Target) Layout {
	demand, slots, zoneSlots, total := map[string]float64{}, map[string]int{}, map[string]int{}, 0
	for _, region := range regions {
		demand[region]++
	}
	for _, t := range targets {
		slots[t.Region] += t.Slots
		zoneSlots[t.Zone] += t.Slots
		total += t.Slots
	}
	l := Layout{normal: Splits(demand, slots, localHeadroom), bulk: Splits(demand, slots, bulkHeadroom), zoneShares: map[string]float64{}}
	for zone := range regions {
		if total > 0 {
			l.zoneShares[zone] = min(1, bulkHeadroom*float64(zoneSlots[zone]*len(regions))/float64(total))
		}
	}
	return l
}
