package rollout

import (
	"crypto/ed25519"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/spread"
)

// Holder holds the bundle version in force on this host. It never goes back to
// an older version. It is safe for concurrent use.
type Holder struct {
	keys   map[string]ed25519.PublicKey
	active atomic.Pointer[ActiveVersion]

	mu          sync.Mutex // held while a version is verified and subscribers are called, so they see versions in order
	subscribers []func(*ActiveVersion)
	readMu      sync.RWMutex // guards recent; not held during verification, so Since does not wait for it
	recent      spread.Recent
}

// NewHolder returns a holder without a version. keys are the operators' public keys.
func NewHolder(keys map[string]ed25519.PublicKey) *Holder { return &Holder{keys: keys} }

// Current returns the version in force, or nil if there is none.
func (h *Holder) Current() *ActiveVersion { return h.active.Load() }

// Subscribe calls fn for the version in force, if any, and for each later one,
// in order. fn must not call Subscribe, Put or Adopt and should return quickly.
func (h *Holder) Subscribe(fn func(*ActiveVersion)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, fn)
	if a := h.active.Load(); a != nil {
		fn(a)
	}
}

// Put verifies a signed version and puts it in force. It reports whether the
// version in force changed. An older version, or the one in force, is ignored
// without an error. The error is bundle.ErrGap if signed is a delta that does not
// apply to the version in force.
func (h *Holder) Put(signed *bundle.Signed) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	base := h.version()
	if base != nil && signed.Header.Version <= base.Header.Version {
		return false, h.checkSameRoot(&signed.Header, &base.Header)
	}
	next, err := signed.Open(base, h.keys)
	if err != nil {
		return false, err
	}
	h.activate(next, *signed)
	return true, nil
}

// Adopt puts a version in force that the agreement group of this host has
// already verified. It ignores versions that are not newer.
func (h *Holder) Adopt(next *bundle.Version, signed bundle.Signed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if base := h.version(); base == nil || next.Header.Version > base.Header.Version {
		h.activate(next, signed)
	}
}

// Since implements Source.
func (h *Holder) Since(version uint64, root bundle.Digest) (spread.Answer, error) {
	h.readMu.RLock()
	defer h.readMu.RUnlock()
	return h.recent.Since(version, root)
}

// checkSameRoot returns an error if offered has the same version number as own but
// different content. The agreement group rules this out, so offered comes from a
// history other than that of this deployment.
func (h *Holder) checkSameRoot(offered, own *bundle.Header) error {
	if offered.Version == own.Version && offered.Root != own.Root {
		return fmt.Errorf("version %d is in force with root %s, offered with root %s by %q", own.Version, own.Root, offered.Root, offered.Operator)
	}
	return nil
}

// version returns the version in force with its header, or nil if there is none.
func (h *Holder) version() *bundle.Version {
	h.readMu.RLock()
	defer h.readMu.RUnlock()
	return h.recent.Current()
}

// activate puts a verified version in force and calls the subscribers. The caller
// holds mu.
func (h *Holder) activate(next *bundle.Version, signed bundle.Signed) {
	h.readMu.Lock()
	h.recent.Add(next, signed)
	h.readMu.Unlock()
	a := &ActiveVersion{Bundle: next.Bundle, Version: next.Header.Version, Root: next.Header.Root}
	h.active.Store(a)
	for _, fn := range h.subscribers {
		fn(a)
	}
}
