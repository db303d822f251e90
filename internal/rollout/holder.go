package rollout

import (
	"crypto/ed25519"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// Holder keeps the version in force on this host. It verifies every version
// and never goes back to an older one. It is safe for concurrent use.
type Holder struct {
	keys   map[string]ed25519.PublicKey
	active atomic.Pointer[ActiveVersion]

	mu     sync.Mutex // held while a version is verified and announced, so subscribers see versions in order
	subs   []func(*ActiveVersion)
	readMu sync.RWMutex // guards recent; not held while a version is verified
	recent spread.Recent
}

// NewHolder returns a holder without a version. keys are the operators' public keys.
func NewHolder(keys map[string]ed25519.PublicKey) *Holder { return &Holder{keys: keys} }

// Current returns the version in force, nil if there is none.
func (h *Holder) Current() *ActiveVersion { return h.active.Load() }

// Subscribe calls fn for the version in force, if any, and for each later one,
// in order. fn must not call Subscribe or Put and should return soon.
func (h *Holder) Subscribe(fn func(*ActiveVersion)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subs = append(h.subs, fn)
	if a := h.active.Load(); a != nil {
		fn(a)
	}
}

// Put verifies a signed version and puts it in force. It reports whether the
// version in force changed; a version that is not newer is not an error. The
// error is bundle.ErrGap if versions in between are missing.
func (h *Holder) Put(signed *bundle.Signed) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	base := h.version()
	if base != nil && signed.Header.Version <= base.Header.Version {
		return false, h.compare(&signed.Header, &base.Header)
	}
	next, err := signed.Open(base, h.keys)
	if err != nil {
		return false, err
	}
	h.enforce(next, *signed)
	return true, nil
}

// Adopt puts a version in force that the agreement group of this host has verified.
func (h *Holder) Adopt(next *bundle.Version, signed bundle.Signed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if base := h.version(); base == nil || next.Header.Version > base.Header.Version {
		h.enforce(next, signed)
	}
}

// Since answers a host that asks for versions newer than its own.
func (h *Holder) Since(version uint64, root bundle.Digest) (spread.Answer, error) {
	h.readMu.RLock()
	defer h.readMu.RUnlock()
	return h.recent.Since(version, root)
}

// compare reports a version with the same number and other content. Agreement
// rules it out; it points to a host with a foreign history.
func (h *Holder) compare(offered, own *bundle.Header) error {
	if offered.Version == own.Version && offered.Root != own.Root {
		return fmt.Errorf("version %d is in force with root %s, offered with root %s by %q", own.Version, own.Root, offered.Root, offered.Operator)
	}
	return nil
}

func (h *Holder) version() *bundle.Version {
	h.readMu.RLock()
	defer h.readMu.RUnlock()
	return h.recent.Current()
}

func (h *Holder) enforce(next *bundle.Version, signed bundle.Signed) {
	h.readMu.Lock()
	h.recent.Add(next, signed)
	h.readMu.Unlock()
	a := &ActiveVersion{Bundle: next.Bundle, Version: next.Header.Version, Root: next.Header.Root}
	h.active.Store(a)
	for _, fn := range h.subs {
		fn(a)
	}
}
