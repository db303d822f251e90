package link

import "slices"

// FairLevel returns the max-min fair level: with every demand limited to it,
// the demands add up to at most the amount. If all demands fit, it returns the
// amount itself. It sorts demands in place.
func FairLevel(amount float64, demands []float64) float64 {
	slices.Sort(demands)
	left := amount
	for i, d := range demands {
		level := left / float64(len(demands)-i)
		if d > level {
			return level
		}
		left -= d
	}
	return amount
}
