package evidence

import "time"

const (
	// tallyDecay is the time without new outcomes after which old ones have no weight.
	// Updates within that time reduce the weight in proportion to the time passed.
	tallyDecay = 5 * time.Second
	// minTallyOutcomes is the decayed number of outcomes below which a target has
	// no bad ratio and does not become an outlier.
	minTallyOutcomes = 3
	// outlierMargin is how far a target's share of failed work must exceed that of the
	// other targets of its service to make it an outlier. It stays one as long as the
	// excess is above clearMargin; the gap between the two prevents flapping.
	outlierMargin = 0.35
	clearMargin   = 0.15
	// maxOutlierRatio is the fraction of a service's targets that may be outliers. If
	// more look bad, the fault is more likely elsewhere, and none is reported.
	maxOutlierRatio = 0.4
)

// Tally counts good and bad outcomes of a target's work, weighted by age. It is not
// safe for concurrent use.
type Tally struct {
	good, bad float64
	updated   time.Duration
}

// Add counts outcomes after decaying the earlier ones.
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

// BadRatio returns the fraction of bad outcomes, or 0 if there are fewer than
// minTallyOutcomes outcomes.
func (t *Tally) BadRatio(now time.Duration) float64 {
	t.Add(now, 0, 0)
	if n := t.good + t.bad; n >= minTallyOutcomes {
		return t.bad / n
	}
	return 0
}

// Outliers returns the targets of one service that fail a much larger share of their
// work than the other targets of the service. wasOutlier reports whether a target was
// an outlier before.
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
		// Compare with the other targets only, so that a bad target does not raise its
		// own threshold.
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
