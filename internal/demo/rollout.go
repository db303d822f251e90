package demo

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"time"
)

func (d *demo) newKey(ctx context.Context, file string) (public string, err error) {
	return d.ctlCommand(ctx, "key", "new", file)
}

// rollOut signs the bundle and waits until every entry host has it in force.
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

// waitReady waits until each entry host serves and a request to each service succeeds.
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

// waitOK polls the address until it answers 200.
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

func (d *demo) status(ctx context.Context) error { return d.show(ctx, "status") }
