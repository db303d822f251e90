package entry

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/netip"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// Targets receives the announcements of targets.
type Targets interface {
	// Announce returns a *RefusedTargetError if the zone does not accept the target.
	Announce(ctx context.Context, a Announcement) error
}

// RefusedTargetError says why the zone does not accept a target.
type RefusedTargetError struct{ Reason string }

func (e *RefusedTargetError) Error() string { return e.Reason }

// Announcement is the state that a target reports about itself.
type Announcement struct {
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Zone        string         `json:"zone"`
	Incarnation uint64         `json:"incarnation"`
	Sequence    uint64         `json:"sequence"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	State       string         `json:"state"`
	Load        float64        `json:"load"` // requests outstanding divided by slots, as the target sees it
}

// States of a target.
const (
	StateReady   = "ready"
	StateLeaving = "leaving"
)

// Limits of an announcement.
const (
	maxAnnouncement      = 4 << 10 // bytes
	maxName              = 100     // bytes
	maxSlots             = 10_000
	maxTargetConnections = 1_000_000
	announcementSource   = "announcement"
)

// decodeAnnouncement reads exactly one JSON object with known fields and checks each of them.
func decodeAnnouncement(r io.Reader) (Announcement, error) {
	var a Announcement
	body, err := io.ReadAll(io.LimitReader(r, maxAnnouncement+1))
	if err != nil {
		return a, fmt.Errorf("read announcement: %w", err)
	}
	if len(body) > maxAnnouncement {
		return a, fmt.Errorf("announcement is longer than %d bytes", maxAnnouncement)
	}
	if err := decodeStrict(body, &a); err != nil {
		return a, fmt.Errorf("announcement: %w", err)
	}
	return a, a.check()
}

// check returns a finding for each invalid field.
func (a Announcement) check() error {
	var found finding.List
	add := func(key, format string, args ...any) { found.Add(announcementSource, 0, key, format, args...) }
	if a.Service == "" || len(a.Service) > maxName {
		add("service", "must have 1 to %d bytes", maxName)
	}
	if a.Zone == "" || len(a.Zone) > maxName {
		add("zone", "must have 1 to %d bytes", maxName)
	}
	if !a.Address.IsValid() || a.Address.Port() == 0 || a.Address.Addr().IsUnspecified() || a.Address.Addr().Zone() != "" {
		add("address", "must be IP:port")
	}
	if a.Incarnation == 0 {
		add("incarnation", "must be above 0")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		add("slots", "must be 1 to %d", maxSlots)
	}
	if a.Connections < 1 || a.Connections > maxTargetConnections {
		add("connections", "must be 1 to %d", maxTargetConnections)
	}
	if a.State != StateReady && a.State != StateLeaving {
		add("state", "must be %s or %s", StateReady, StateLeaving)
	}
	if a.Load < 0 || math.IsNaN(a.Load) || math.IsInf(a.Load, 0) {
		add("load", "must not be negative")
	}
	return found.Err()
}
