package history

import (
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// Current returns the newest accepted version, nil if there is none.
func (m *Machine) Current() *bundle.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.recent.Current()
}

// Header returns the header of an accepted version.
func (m *Machine) Header(version uint64) (bundle.Header, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if version == 0 || version > m.headers.count() {
		return bundle.Header{}, false
	}
	return m.headers.at(version), true
}

// Headers returns up to limit headers, newest first, starting at version before-1;
// before 0 starts at the newest version.
func (m *Machine) Headers(before uint64, limit int) []bundle.Header {
	m.mu.RLock()
	defer m.mu.RUnlock()
	end := m.headers.count()
	if before > 0 && before-1 < end {
		end = before - 1
	}
	var page []bundle.Header
	for v := end; v > 0 && len(page) < limit; v-- {
		page = append(page, m.headers.at(v))
	}
	return page
}

// Delta returns the delta from the previous version to version, if it is still kept.
func (m *Machine) Delta(version uint64) (*bundle.Signed, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.recent.Delta(version)
}

// Since returns what a host with this version and root lacks, as deltas or as a
// snapshot. Many missed versions take several calls.
func (m *Machine) Since(version uint64, root bundle.Digest) (spread.Answer, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.recent.Since(version, root)
}

// VoterChange returns the version that last changed the entry hosts of a zone, 0 if none did.
func (m *Machine) VoterChange(zone string) uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.voterChanges[zone]
}

// Subscribe calls listen for the current version, if any, and for each later one.
func (m *Machine) Subscribe(listen Listener) {
	m.mu.Lock()
	m.listeners = append(m.listeners[:len(m.listeners):len(m.listeners)], listen)
	current := m.recent.Current()
	signed, isDelta := m.newestDelta()
	m.mu.Unlock()
	if current == nil {
		return
	}
	if !isDelta {
		signed = bundle.Signed{Header: current.Header}
	}
	listen(current, signed)
}

// newestDelta returns the delta to the newest version, if it is kept. The caller holds mu.
func (m *Machine) newestDelta() (bundle.Signed, bool) {
	deltas := m.recent.Deltas()
	if len(deltas) == 0 {
		return bundle.Signed{}, false
	}
	return deltas[len(deltas)-1], true
}
