package affinity

import (
	"maps"
	"slices"
)

// localHeadroom is the load per slot, in multiples of the average, up to which a region
// serves the objects of its own callers; the rest is served elsewhere.
const localHeadroom = 1.1

// Split holds, for the callers of one region, the share of their objects that each
// region serves.
type Split map[string]float64

// Splits divides the demand of each region over the slots of all regions. A region
// serves its own demand up to headroom times the average load per slot; the rest goes
// to regions with spare slots. A region without demand gets a split as well. The
// result is empty if there are no slots.
func Splits(demand map[string]float64, slots map[string]int, headroom float64) map[string]Split {
	totalDemand, totalSlots := 0.0, 0
	for _, d := range demand {
		totalDemand += d
	}
	for _, n := range slots {
		totalSlots += n
	}
	splits := map[string]Split{}
	if totalSlots == 0 {
		return splits
	}
	limit := headroom * totalDemand / float64(totalSlots) // highest load per slot
	room, totalRoom := map[string]float64{}, 0.0
	for region, n := range slots {
		if spare := limit*float64(n) - demand[region]; spare > 0 {
			room[region] = spare
			totalRoom += spare
		}
	}
	for _, region := range slices.Sorted(maps.Keys(demand)) {
		own := 1.0
		if d := demand[region]; d > 0 {
			own = min(1, limit*float64(slots[region])/d)
		}
		split := Split{region: own}
		for other, spare := range room {
			if other != region && totalRoom > 0 {
				split[other] = (1 - own) * spare / totalRoom
			}
		}
		splits[region] = split
	}
	return splits
}
