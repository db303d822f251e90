package evidence

import "time"

const (
	// tallyDecay is the time after which an outcome has lost most of its weight.
	tallyDecay = 5 * time.Second
	// minTallyOutcomes is the number of outcomes below which a target is not judged.
	minTallyOutcomes = 3
	// outlierMargin is how far above the share of its service a target's share
	// of failed work must be to single it out; clearMargin is where that ends.
	outlierMargin = 0.35
	clearMargin   = 0.15
	// maxOutlierRatio is the part of a service's targets that may be singled out.
	// If more look bad, the fault is more likely elsewhere.
	maxOutlierRatio = 0.4
)

// Tally counts the outcomes of a target's work; older ones count less.
type Tally struct {
	good, bad float64
	updated   time.Duration
}

// Add counts outcomes.
func (t *Tally) Add(now time.Duration, good, bad float64) {
	if past := now - t.updated; past > 0 {
		factor := max(0, 1-float64(past)/float64(tallyDecay))
		t.good *= factor
		t.bad *= factor
		t.updated = now
	}
	t.good += good
	t.bad += bad
}

// BadRatio is the part of the outcomes that are bad, 0 while there are too few to tell.
func (t *Tally) BadRatio(now time.Duration) float64 {
	t.Add(now, 0, 0)
	if n := t.good + t.bad; n >= minTallyOutcomes {
		return t.bad / n
	}
	return 0
}

// Outliers returns the targets of one service that fail much more of their work
// than the service as a whole. held says which were singled out before.
func Outliers(now time.Duration, tallies map[string]*Tally, wasOutlier func(name string) bool) map[string]bool {
	var good, bad float64
	for _, t := range tallies {
		t.Add(now, 0, 0)
		good += t.good
		bad += t.bad
	}
	outliers := map[string]bool{}
	for name, t := range tallies {
		n := t.good + t.bad
		if n < 1 || (n < minTallyOutcomes && !wasOutlier(name)) {
			continue
		}
		// The others of the service are the measure, without the target itself.
		others := 0.0
		if rest := good + bad - n; rest > 0 {
			others = (bad - t.bad) / rest
		}
		margin := outlierMargin
		if wasOutlier(name) {
			margin = clearMargin
		}
		if t.bad/n > others+margin {
			outliers[name] = true
		}
	}
	if float64(len(outliers)) > maxOutlierRatio*float64(len(tallies)) {
		return map[string]bool{}
	}
	return outliers
}
