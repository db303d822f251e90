package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// announcement is the body of POST /v1/targets.
type announcement struct {
	Service     string  `json:"service"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Incarnation uint64  `json:"incarnation"`
	Sequence    uint64  `json:"sequence"`
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	State       string  `json:"state"`
	Load        float64 `json:"load"` // outstanding requests divided by slots
}

// announcer announces the target to an entry host at each interval.
type announcer struct {
	target   *Target
	client   *http.Client
	mu       sync.Mutex
	sequence uint64
	entry    int  // index of the entry host that took the last announcement
	left     bool // the departure has been sent; nothing may follow it
}

// announceTimeout bounds one announcement; after it the next entry host is tried.
const announceTimeout = 500 * time.Millisecond

func newAnnouncer(t *Target) *announcer {
	return &announcer{target: t, client: &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}}}
}

// run announces the target until ctx ends.
func (a *announcer) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	ticker := time.NewTicker(a.target.config.Interval)
	defer ticker.Stop()
	for {
		if !a.target.Fault().Freeze {
			// Not cancelled with ctx: an announcement aborted in flight could still be
			// processed after the one of the departure.
			a.send(context.WithoutCancel(ctx), "/v1/targets", "ready")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// leave announces that the target is leaving.
func (a *announcer) leave(ctx context.Context) { a.send(ctx, "/v1/targets/leave", "leaving") }

// send sends one announcement. It tries each entry host at most once, beginning with
// the one that took the last announcement, and stops at the first that takes it.
func (a *announcer) send(ctx context.Context, path, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left {
		return
	}
	a.left = state == "leaving"
	entries := a.target.config.Entries
	a.sequence++
	for range entries {
		err := a.post(ctx, entries[a.entry], path, state)
		if err == nil {
			a.target.counts.add(func(s *Stats) { s.Announcements++ })
			return
		}
		if ctx.Err() != nil {
			return
		}
		a.target.counts.add(func(s *Stats) { s.AnnounceFails++ })
		a.entry = (a.entry + 1) % len(entries)
	}
}

// post sends one announcement to one entry host. The caller holds a.mu.
func (a *announcer) post(ctx context.Context, entry, path, state string) error {
	c := a.target.config
	body, err := json.Marshal(announcement{
		Service: c.Service, Address: a.target.address, Zone: c.Zone, Incarnation: c.Incarnation,
		Sequence: a.sequence, Slots: c.Slots, Connections: c.Connections, State: state, Load: a.load(),
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	if resp.StatusCode >= 300 {
		return fmt.Errorf("entry host %s answered %s", entry, resp.Status)
	}
	return nil
}

// load returns the load to report: the true one, or that of the fault mode.
func (a *announcer) load() float64 {
	switch a.target.Fault().Load {
	case LoadIdle:
		return 0
	case LoadBusy:
		return 1
	}
	return float64(a.target.counts.snapshot().Outstanding) / float64(a.target.config.Slots)
}
