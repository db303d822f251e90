package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// traceID is the trace ID that the demo sends with its run-once requests.
const traceID = "4bf92f3577b34da6a3ce929d0e0e4736"

// lookupAnswer holds the fields of a look-up answer that the demo reads.
type lookupAnswer struct {
	LifetimeMs int64  `json:"lifetime_ms"`
	Version    uint64 `json:"version"`
	Hosts      []struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Zone    string `json:"zone"`
	} `json:"hosts"`
}

// call acts as a caller: it looks up entry hosts, sends a repeatable and a run-once
// request, and resends the run-once request through another entry host.
func (d *demo) call(ctx context.Context) error {
	found, err := d.lookup(ctx)
	if err != nil {
		return err
	}
	base := "http://" + found.Hosts[0].Address + "/s/" + d.bundle.Services[0].Name
	if _, err := d.request(ctx, http.MethodGet, base+"/diary/saturday?bytes=24", "", "done"); err != nil {
		return err
	}
	key, err := uuid.NewV7()
	if err != nil {
		return err
	}
	first, err := d.request(ctx, http.MethodPost, base+"/bookings", key.String(), "done")
	if err != nil {
		return err
	}
	// A resend through another entry host must return the recorded answer of the
	// first request and must not run it again.
	other := "http://" + found.Hosts[1].Address + "/s/" + d.bundle.Services[0].Name
	again, err := d.resend(ctx, other+"/bookings", key.String())
	if err != nil {
		return err
	}
	if again != first {
		return fmt.Errorf("the resend returned %q, want the recorded answer %q", again, first)
	}
	d.printf("   the resend returned the recorded answer")
	return nil
}

// lookup asks the first entry host for entry hosts of the first service and checks
// that the answer covers at least two availability zones.
func (d *demo) lookup(ctx context.Context) (*lookupAnswer, error) {
	url := "http://" + d.entryHosts("")[0].HTTP + "/v1/lookup?service=" + d.bundle.Services[0].Name
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var found lookupAnswer
	if err := json.NewDecoder(resp.Body).Decode(&found); err != nil {
		return nil, fmt.Errorf("decode look-up answer (%s): %w", resp.Status, err)
	}
	zones := map[string]bool{}
	for _, h := range found.Hosts {
		zones[h.Zone] = true
		d.printf("   look-up names %s at %s in %s", h.Name, h.Address, h.Zone)
	}
	if len(zones) < 2 {
		return nil, fmt.Errorf("the look-up answer names entry hosts in %d availability zones, want at least 2", len(zones))
	}
	d.printf("   bundle version %d, lifetime %d ms", found.Version, found.LifetimeMs)
	return &found, nil
}

// resend repeats a run-once request with the same key while the outcome is
// in-progress, until the recorded answer is replayed.
func (d *demo) resend(ctx context.Context, url, key string) (string, error) {
	for {
		body, outcome, err := d.do(ctx, http.MethodPost, url, key)
		if err != nil || outcome == "replayed" {
			return body, err
		}
		if outcome != "in-progress" {
			return "", fmt.Errorf("resend of key %s: outcome %q, want replayed", key, outcome)
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// request sends one request, checks that its outcome header is want and returns
// the response body.
func (d *demo) request(ctx context.Context, method, url, key, want string) (string, error) {
	body, outcome, err := d.do(ctx, method, url, key)
	if err != nil {
		return "", err
	}
	if outcome != want {
		return "", fmt.Errorf("%s %s: outcome %q, want %q: %s", method, url, outcome, want, body)
	}
	return body, nil
}

// do sends one request and returns the body and the outcome header of the
// response. A non-empty key marks a run-once request that is traced.
func (d *demo) do(ctx context.Context, method, url, key string) (body, outcome string, err error) {
	var payload io.Reader
	if method == http.MethodPost {
		payload = strings.NewReader(`{"hall":"Kilrush","day":"saturday"}`)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return "", "", err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		req.Header.Set("Traceparent", "00-"+traceID+"-00f067aa0ba902b7-01")
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", "", err
	}
	outcome = resp.Header.Get("Hornbeam-Outcome")
	d.printf("   %s %s: %s outcome=%s bytes=%d in %s", method, strings.TrimPrefix(url, "http://"), resp.Status, outcome,
		len(data), time.Since(began).Round(100*time.Microsecond))
	return string(data), outcome, nil
}
