package affinity

// bulkHeadroom is how far above the average load per slot the objects of large
// answers may be in a region or an availability zone before part of them is
// served elsewhere. They are a small part of all work and most of the bytes.
const bulkHeadroom = 2

// Layout says where the objects of each place's callers are served. It depends
// on places and slots alone, so that changes of traffic move no objects.
type Layout struct {
	normal     map[string]Split   // by region of the caller
	bulk       map[string]Split   // the same for large answers
	zoneShares map[string]float64 // part of a zone's large answers that the zone serves, of what its region does
}

// NewLayout divides the objects over targets; regions names the region of each
// availability zone. Each zone is taken to have the same demand.
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
