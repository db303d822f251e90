package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// retryPause is the wait before all control hosts are tried again.
const retryPause = 50 * time.Millisecond

var errNoAnswer = errors.New("no control host answered")

// Submit signs a version and returns once a control host has accepted it. Control
// hosts that cannot be reached or answer 503 are retried until ctx ends; any other
// status is an error.
func (c *Cluster) Submit(ctx context.Context, next *bundle.Bundle) error {
	header := bundle.Sign(next.Version, c.root, next.Root(), operator, c.key)
	signed, err := bundle.NewSigned(header, next, nil)
	if err != nil {
		return err
	}
	body, err := json.Marshal(signed)
	if err != nil {
		return err
	}
	last := errNoAnswer
	for ctx.Err() == nil {
		for _, h := range next.Hosts {
			if h.Role != bundle.RoleControl {
				continue
			}
			status, text, err := post(ctx, "http://"+h.HTTP+"/v1/bundles", body)
			switch {
			case err != nil:
				last = err
			case status == http.StatusOK:
				c.current, c.root = next, header.Root
				return nil
			case status == http.StatusServiceUnavailable:
				last = fmt.Errorf("%s: %s", h.Name, text)
			default:
				return fmt.Errorf("version %d refused with status %d: %s", next.Version, status, text)
			}
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("submit version %d: %w", next.Version, last)
}

// post sends body to url and returns the status and body of the response.
func post(ctx context.Context, url string, body []byte) (status int, text []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err = io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// DataBytes returns the total size in bytes of all files in the data folders of
// the control hosts.
func (c *Cluster) DataBytes() float64 {
	sum := 0.0
	_ = filepath.Walk(filepath.Join(c.options.Folder, "data"), func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			sum += float64(info.Size())
		}
		return nil
	})
	return sum
}
