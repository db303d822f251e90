package partition

import "time"

const (
	// minTargets is the number of targets that must have failed. Fewer may be down
	// together.
	minTargets = 3
	// minZones is the number of availability zones that they must be of, so that the
	// loss of a zone of targets is no partition of this host.
	minZones = 2
	// failureWindow is how long a failure counts.
	failureWindow = 5 * time.Second
	// probeInterval is the time between attempts to reach a target while the host is cut
	// off, so that its end does not meet a flood of connections.
	probeInterval = 500 * time.Millisecond
)

// Known is what a host knows of targets: their number, and that of their availability zones.
type Known struct{ Targets, Zones int }

// Change is a change of the state of a Detector.
type Change uint8

// Changes that an outcome may cause.
const (
	None   Change = iota
	Cut           // the host is cut off from now on
	Healed        // the host reaches targets again
)

// failure is the last failed attempt to reach a target.
type failure struct {
	zone string
	at   time.Duration
}

// Detector holds the outcomes since the last success. It is not safe for concurrent use.
type Detector struct {
	failed map[string]failure // by target
	cut    bool
	since  time.Duration // of the partition
	probed time.Duration // last probe, 0 if there was none
}

// New returns a detector of a host that is not cut off.
func New() *Detector { return &Detector{failed: map[string]failure{}} }

// Failed records that a connection to a target could not be opened or was lost.
func (d *Detector) Failed(now time.Duration, target, zone string, known Known) Change {
	d.failed[target] = failure{zone: zone, at: now}
	if d.cut || !d.enough(now, known) {
		return None
	}
	d.cut, d.since, d.probed = true, now, now
	return Cut
}

// Reached records that a target was reached.
func (d *Detector) Reached() Change {
	clear(d.failed)
	if !d.cut {
		return None
	}
	d.cut = false
	return Healed
}

// IsCut reports whether the host is cut off from all targets.
func (d *Detector) IsCut() bool { return d.cut }

// Since returns when the partition was detected, and the number of targets that have failed
// in it.
func (d *Detector) Since() (at time.Duration, targets int) { return d.since, len(d.failed) }

// Probe reports whether the host, being cut off, is to try to reach a target now, and records
// that it does.
func (d *Detector) Probe(now time.Duration) bool {
	if !d.cut || now-d.probed < probeInterval {
		return false
	}
	d.probed = now
	return true
}

// enough reports whether the recent failures can only be due to this host, and drops older
// ones.
func (d *Detector) enough(now time.Duration, known Known) bool {
	zones := map[string]bool{}
	for target, f := range d.failed {
		if now-f.at > failureWindow {
			delete(d.failed, target)
			continue
		}
		zones[f.zone] = true
	}
	return known.Targets >= 2 && len(d.failed) >= min(minTargets, known.Targets) && len(zones) >= min(minZones, known.Zones)
}
