package zone

import (
	"sync"
	"time"
)

// directory holds what the host knows of the coordinators, hosts and services of
// all zones.
type directory struct {
	mu           sync.Mutex
	coordinators map[string]coordinatorRef // by zone
	summaries    map[string]summaryEntry   // by zone
	unanswered   map[string]time.Time      // by zone, when a query for its coordinator last failed
	version      uint64                    // number of summaries stored so far

	hosts      []hostState // of the host's own zone
	hostsHeard time.Time
	hostsSum   uint32 // checksum of hosts
	fromTerm   uint64 // term of the coordinator that fromSeen refers to
	fromSeen   uint64 // newest summary version received from that coordinator
}

// coordinatorRef names the coordinator of a zone, as far as known.
type coordinatorRef struct {
	host   string
	term   uint64 // zero for a hint from another host
	learnt time.Time
}

// summaryEntry is a zone's summary and the time at which it was valid.
type summaryEntry struct {
	summary
	heard   time.Time
	version uint64
}

func newDirectory() *directory {
	return &directory{coordinators: map[string]coordinatorRef{}, summaries: map[string]summaryEntry{}, unanswered: map[string]time.Time{}}
}

// learn records the coordinator of a zone. A term of zero marks a hint, which
// replaces a known coordinator only if nothing was heard of that one for
// staleSummary.
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

// forget removes a host as coordinator of a zone, because it denied that role or
// did not answer.
func (d *directory) forget(zone, host string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.coordinators[zone].host == host {
		delete(d.coordinators, zone)
	}
}

// coordinator returns the coordinator of a zone, or "" if none is known or the
// knowledge is outdated.
func (d *directory) coordinator(now time.Time, zone string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	ref, ok := d.coordinators[zone]
	if !ok || now.Sub(ref.learnt) >= staleSummary {
		return ""
	}
	return ref.host
}

// mayQuery reports whether hosts of a zone may be asked for its coordinator. After
// a failed query the next one waits for queryBackoff.
func (d *directory) mayQuery(now time.Time, zone string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, failed := d.unanswered[zone]
	return !failed || now.Sub(at) >= queryBackoff
}

// queryFailed records that a query for a zone's coordinator failed.
func (d *directory) queryFailed(now time.Time, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unanswered[zone] = now
}

// store records a zone's summary, unless a newer one is known, and the
// coordinator it names.
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

// summariesAfter returns the summaries stored after a version, except that of one
// zone, with their current age. It also returns the newest version.
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

// summaryEntry returns the summary of a zone, if one is known.
func (d *directory) summaryEntry(zone string) (summaryEntry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.summaries[zone]
	return e, ok
}
