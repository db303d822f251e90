package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/controlapi"
	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	// attemptTimeout bounds one HTTP request. It exceeds the 7 s that a control
	// host waits for the leader.
	attemptTimeout = 10 * time.Second
	// confirmTimeout is how long a read waits for an answer that the leader
	// confirmed. It outlasts an election, which takes about 1 s.
	confirmTimeout = 3 * time.Second
)

// client sends requests to the control hosts, hedged across addrs.
type client struct {
	addrs []string
	http  *http.Client
}

// settings loads the settings file. It is called only if the options do not
// provide the value, so that a command can run without the file.
func (c *command) settings() (*settings.Ctl, error) {
	s, err := settings.LoadCtl(c.args.Settings)
	if err != nil {
		return nil, &exitError{ExitUsage, err}
	}
	return s, nil
}

// control returns the client of the control hosts, whose addresses come from
// --control or else from the settings.
func (c *command) control() (*client, error) {
	if c.client != nil {
		return c.client, nil
	}
	addrs := c.args.Control
	if len(addrs) == 0 {
		s, err := c.settings()
		if err != nil {
			return nil, err
		}
		addrs = s.ControlHosts
	}
	for _, addr := range addrs {
		if problem := bundle.AddressProblem(addr); problem != "" {
			return nil, badInput("--control: %s", problem)
		}
	}
	c.client = &client{addrs: addrs, http: &http.Client{Timeout: attemptTimeout}}
	return c.client, nil
}

// remoteError is an error response of a control host.
type remoteError struct {
	controlapi.ErrorDetail
}

func (e *remoteError) Error() string { return e.Message }

// get decodes into dst an answer that the leader confirmed. If none arrives
// within confirmTimeout, it takes an unconfirmed answer of any control host,
// which is marked as stale.
func (c *client) get(ctx context.Context, path string, dst any) error {
	r := &hedgedRead{confirmBy: time.Now().Add(confirmTimeout), failed: map[string]bool{}, hosts: len(c.addrs), err: errors.New("no control host is configured")}
	if len(c.addrs) > 0 {
		hedge(ctx, c.addrs, func(ctx context.Context, addr string) bool {
			body, status, err := c.request(ctx, addr, http.MethodGet, path, nil)
			return r.record(addr, body, status, err)
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.moveToFront(r.answeredBy)
	var exit *exitError
	switch {
	case r.body != nil:
		return json.Unmarshal(r.body, dst)
	case errors.As(r.err, &exit):
		return r.err
	}
	return failed("no control host answered: %w", r.err)
}

// moveToFront makes later requests of the same command start with addr, which
// answered, so that a host that hangs delays a command only once.
func (c *client) moveToFront(addr string) {
	if i := slices.Index(c.addrs, addr); i > 0 {
		c.addrs = append([]string{addr}, slices.Delete(slices.Clone(c.addrs), i, i+1)...)
	}
}

// submit sends a signed bundle until a control host gives a definite answer.
// Submissions are idempotent: after a lost response the same content is sent to
// another control host, which returns the result that the first one would have.
func (c *client) submit(ctx context.Context, signed *bundle.Signed) (*history.Result, error) {
	body, err := json.Marshal(signed)
	if err != nil {
		return nil, failed("encode signed bundle: %w", err)
	}
	s := &submission{err: errors.New("no control host is configured")}
	if len(c.addrs) > 0 {
		hedge(ctx, c.addrs, func(ctx context.Context, addr string) bool {
			result, maybeAccepted, err := c.submitTo(ctx, addr, body)
			return s.record(addr, result, maybeAccepted, err)
		})
	}
	return s.outcome()
}

// submitTo sends body to one control host. maybeAccepted reports that the bundle
// may have been accepted although no result came back; a failed dial rules it out.
func (c *client) submitTo(ctx context.Context, addr string, body []byte) (result *history.Result, maybeAccepted bool, err error) {
	answer, status, err := c.request(ctx, addr, http.MethodPost, controlapi.PathBundles, body)
	if err != nil {
		var op *net.OpError
		return nil, !(errors.As(err, &op) && op.Op == "dial"), err
	}
	switch status {
	case http.StatusOK, http.StatusConflict, http.StatusUnprocessableEntity:
		result = &history.Result{}
		if err := json.Unmarshal(answer, result); err != nil || result.Outcome == "" {
			return nil, true, fmt.Errorf("response cannot be decoded: %s", answer)
		}
		return result, true, nil
	}
	err = decode(answer, status, nil)
	var remote *remoteError
	if !errors.As(err, &remote) {
		return nil, true, err
	}
	switch remote.Code {
	case controlapi.CodeBadRequest:
		return nil, false, &exitError{ExitUsage, err}
	case controlapi.CodeNoLeader, controlapi.CodeNotReady: // not submitted; both usually clear within seconds
		return nil, false, err
	}
	return nil, true, err
}

// request sends one HTTP request and returns the body and status of the response.
func (c *client) request(ctx context.Context, addr, method, path string, body []byte) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return answer, resp.StatusCode, err
}

// decode decodes the body of a successful response into dst. It returns a
// *remoteError for an error response of a control host.
func decode(body []byte, status int, dst any) error {
	if status == http.StatusOK {
		return json.Unmarshal(body, dst)
	}
	var wrapped controlapi.ErrorBody
	if err := json.Unmarshal(body, &wrapped); err != nil || wrapped.Error.Code == "" {
		return fmt.Errorf("status %d: %s", status, body)
	}
	return &remoteError{wrapped.Error}
}
