package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/entry"
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/internal/zone"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/steer"
)

// pickerRebuildInterval is how often changed host states are applied to look-up
// answers.
const pickerRebuildInterval = 250 * time.Millisecond

// lookups implements entry.Lookups. Answers come from an immutable picker that is
// rebuilt periodically from the host states, and with each new bundle.
type lookups struct {
	zone    string // zone of this host; also the home zone of callers in no block
	view    func() zone.View
	log     *log.Logger
	version atomic.Pointer[lookupVersion]
	picker  atomic.Pointer[lookupPicker]
}

// lookupVersion holds what depends on the bundle only.
type lookupVersion struct {
	bundle  *bundle.Bundle
	version uint64
	blocks  *steer.Blocks
}

// lookupPicker is a picker together with the bundle version it was built from.
type lookupPicker struct {
	*steer.Picker
	*lookupVersion
}

// use switches to a new bundle version. It keeps the old one if the caller blocks
// are invalid.
func (l *lookups) use(a *rollout.ActiveVersion) {
	blocks, err := l.blocksOf(a.Bundle)
	if err != nil {
		l.log.Error("caller blocks refused", "version", a.Version, "err", err)
		return
	}
	l.version.Store(&lookupVersion{bundle: a.Bundle, version: a.Version, blocks: blocks})
	l.rebuild()
}

// blocksOf returns the caller block table of a bundle. It reuses the current table
// if zones and blocks are unchanged, as after a drain, because building one takes
// 0.2 s with 640,000 blocks.
func (l *lookups) blocksOf(next *bundle.Bundle) (*steer.Blocks, error) {
	if v := l.version.Load(); v != nil && sameSlice(v.bundle.Zones, next.Zones) && sameSlice(v.bundle.Blocks, next.Blocks) {
		return v.blocks, nil
	}
	return steer.NewBlocks(next.Zones, next.Blocks)
}

// sameSlice reports whether a and b share their elements in memory. bundle.Apply
// shares unchanged lists between versions.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// run periodically rebuilds the picker until ctx ends.
func (l *lookups) run(ctx context.Context) error {
	return every(ctx, pickerRebuildInterval, l.rebuild)
}

// rebuild builds a picker from the current bundle version and host states. It does
// nothing before the first version.
func (l *lookups) rebuild() {
	v := l.version.Load()
	if v == nil {
		return
	}
	states := hostStates(l.view(), time.Now())
	l.picker.Store(&lookupPicker{steer.NewPicker(v.bundle, v.blocks, states, l.zone), v})
}

const (
	// hostSilenceTimeout is the age of the last received state of a host above which
	// the host counts as silent. Zones exchange summaries each second.
	hostSilenceTimeout = 5 * time.Second
	// unreportedSpare is the spare capacity, of 1, assumed for hosts that have not
	// reported yet. It is low, so that hosts with reports are preferred, but not
	// 0: just after a start no other zone has reported, and an answer must still
	// name more than one zone.
	unreportedSpare = 0.05
)

// hostStates converts the zone's view to host states. Spare capacity is relative to
// the host with the most, between 0 and 1.
func hostStates(v zone.View, now time.Time) map[string]steer.HostState {
	maxSpare := 1
	for _, h := range v.Hosts {
		maxSpare = max(maxSpare, h.Spare)
	}
	states := make(map[string]steer.HostState, len(v.Hosts))
	for _, h := range v.Hosts {
		spare := float64(h.Spare) / float64(maxSpare)
		if h.Heard.IsZero() {
			spare = unreportedSpare
		}
		states[h.Name] = steer.HostState{
			Leaving:       h.Leaving,
			Silent:        h.Silent || !h.Heard.IsZero() && now.Sub(h.Heard) > hostSilenceTimeout,
			SpareCapacity: spare,
		}
	}
	return states
}

// Lookup implements entry.Lookups.
func (l *lookups) Lookup(caller netip.Addr, service string) (entry.LookupAnswer, bool) {
	p := l.picker.Load()
	if p == nil {
		return entry.LookupAnswer{}, false
	}
	picked := p.Pick(caller.Unmap(), rand.Uint64())
	answer := entry.LookupAnswer{
		Service: service, Zone: l.zone, LifetimeMs: entry.LookupLifetime.Milliseconds(), Version: p.version,
		Hosts: make([]entry.LookupHost, 0, picked.Len()),
	}
	if home, ok := p.blocks.Home(caller.Unmap()); ok {
		answer.Zone = p.blocks.ZoneName(home)
	}
	for i := range picked.Len() {
		h := p.Host(picked.At(i))
		answer.Hosts = append(answer.Hosts, entry.LookupHost{Name: h.Name, Address: h.HTTP, Zone: h.AvailabilityZone})
	}
	return answer, picked.Len() > 0
}
