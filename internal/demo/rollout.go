package demo

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"time"
)

// newKey generates a key pair, writes the private key to file and returns the
// public key.
func (d *demo) newKey(ctx context.Context, file string) (public string, err error) {
	return d.ctlCommand(ctx, "key", "new", file)
}

// rollOut signs and submits the bundle once all control hosts are ready, and waits
// until every entry host has it in force.
func (d *demo) rollOut(ctx context.Context) error {
	for _, h := range d.bundle.Hosts {
		if h.Role == "control" {
			if err := d.waitOK(ctx, "http://"+h.HTTP+"/readyz"); err != nil {
				return err
			}
		}
	}
	signed := filepath.Join(d.folder, "bundle.signed")
	if err := d.show(ctx, "bundle", "sign", d.text, "--out", signed); err != nil {
		return err
	}
	return d.show(ctx, "bundle", "rollout", signed, "--wait")
}

// waitReady waits until each entry host is ready and a request through it to each
// service succeeds.
func (d *demo) waitReady(ctx context.Context) error {
	for _, h := range d.entryHosts("") {
		if err := d.waitOK(ctx, "http://"+h.HTTP+"/readyz"); err != nil {
			return err
		}
		for _, s := range d.bundle.Services {
			if err := d.waitOK(ctx, "http://"+h.HTTP+"/s/"+s.Name+"/ready"); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitOK polls the URL until it answers with status 200 or ctx ends.
func (d *demo) waitOK(ctx context.Context, url string) error {
	last := "no answer yet"
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err != nil {
			last = err.Error()
		} else {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			last = resp.Status
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not become ready: %s", url, last)
		case <-time.After(pollInterval):
		}
	}
}

// status prints the status of all hosts.
func (d *demo) status(ctx context.Context) error { return d.show(ctx, "status") }
