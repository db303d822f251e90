package zone

import (
	"sync"
	"time"
)

// directory is what the host knows about the coordinators, hosts and figures
// of all zones.
type directory struct {
	mu           sync.Mutex
	coordinators map[string]coordinatorRef // by zone
	summaries    map[string]summaryEntry   // by zone
	unanswered   map[string]time.Time      // by zone, when hosts were last asked for its coordinator in vain
	version      uint64                    // counts summaries taken in

	hosts      []hostState // of the own zone
	hostsHeard time.Time
	hostsSum   uint32
	fromTerm   uint64 // coordinator that fromSeen counts for
	fromSeen   uint64 // newest summary version received from it
}

// coordinatorRef names the coordinator of a zone.
type coordinatorRef struct {
	host   string
	term   uint64 // zero if only a hint
	learnt time.Time
}

// summaryEntry is a zone's summary and the moment it was valid.
type summaryEntry struct {
	summary
	heard   time.Time
	version uint64
}

func newDirectory() *directory {
	return &directory{coordinators: map[string]coordinatorRef{}, summaries: map[string]summaryEntry{}, unanswered: map[string]time.Time{}}
}

// learn notes a coordinator. A hint replaces a known coordinator only if that
// one has not been heard of for a while.
func (d *directory) learn(now time.Time, zone, host string, term uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.coordinators[zone]
	if ok && term < old.term && now.Sub(old.learnt) < staleSummary {
		return
	}
	if ok && term == old.term && host != old.host && now.Sub(old.learnt) < watchInterval {
		return
	}
	d.coordinators[zone] = coordinatorRef{host: host, term: term, learnt: now}
}

// forget drops a coordinator that has denied its role or does not answer.
func (d *directory) forget(zone, host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.coordinators[zone].host == host {
		delete(d.coordinators, zone)
	}
}

// coordinator returns the last known coordinator of a zone, or "".
func (d *directory) coordinator(now time.Time, zone string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	ref, ok := d.coordinators[zone]
	if !ok || now.Sub(ref.learnt) >= staleSummary {
		return ""
	}
	return ref.host
}

// mayQuery reports whether hosts of a zone may be asked for its coordinator;
// after a vain question there is a pause.
func (d *directory) mayQuery(now time.Time, zone string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, failed := d.unanswered[zone]
	return !failed || now.Sub(at) >= queryBackoff
}

// queryFailed notes that a zone's coordinator was asked for in vain.
func (d *directory) queryFailed(now time.Time, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unanswered[zone] = now
}

// store takes a summary in unless a newer one is known.
func (d *directory) store(now time.Time, s summary) {
	heard := now.Add(-milliseconds(s.AgeMs))
	d.learn(heard, s.Zone, s.Coordinator, s.Term)
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.summaries[s.Zone]; ok && !heard.After(old.heard) {
		return
	}
	d.version++
	d.summaries[s.Zone] = summaryEntry{summary: s, heard: heard, version: d.version}
}

// summariesAfter returns the summaries after a version, with their present age.
func (d *directory) summariesAfter(now time.Time, version uint64, except string) ([]summary, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []summary
	for zone, e := range d.summaries {
		if zone == except || e.version <= version {
			continue
		}
		s := e.summary
		s.AgeMs = now.Sub(e.heard).Milliseconds()
		out = append(out, s)
	}
	return out, d.version
}

// summaryEntry returns the summary of a zone.
func (d *directory) summaryEntry(zone string) (summaryEntry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.summaries[zone]
	return e, ok
}
