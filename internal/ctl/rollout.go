package ctl

import (
	"context"
	"strings"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/controlapi"
	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// statusPollInterval is the pause between reads of the status with --wait.
const statusPollInterval = 200 * time.Millisecond

// rollout submits a signed file.
func (c *command) rollout(ctx context.Context, a *rolloutArgs) error {
	signed, err := readSigned(a.File)
	if err != nil {
		return err
	}
	result, err := c.submit(ctx, signed)
	if err != nil {
		return err
	}
	return c.finish(ctx, result, a.Wait)
}

// submit submits a signed bundle. It returns an error unless the result is
// history.Accepted.
func (c *command) submit(ctx context.Context, signed *bundle.Signed) (*history.Result, error) {
	control, err := c.control()
	if err != nil {
		return nil, err
	}
	result, err := control.submit(ctx, signed)
	if err != nil {
		return nil, err
	}
	switch {
	case result.Outcome == history.Accepted:
		return result, nil
	case len(result.Findings) > 0:
		return nil, &exitError{ExitFailed, result.Findings}
	}
	return nil, &submitError{result}
}

// submitError is a refusal or a conflict without findings.
type submitError struct{ result *history.Result }

func (e *submitError) Error() string { return string(e.result.Outcome) + ": " + e.result.Message }

// finish prints an accepted result. With wait it first waits until every entry
// host has the version in force.
func (c *command) finish(ctx context.Context, result *history.Result, wait bool) error {
	if wait {
		if missing := c.waitInForce(ctx, result.Accepted.Version); len(missing) > 0 {
			return failed("version %d was accepted, but is not known to be in force on: %s", result.Accepted.Version, strings.Join(missing, ", "))
		}
	}
	h := result.Accepted
	return c.print(result, "version %d accepted, root %s, operator %s", h.Version, h.Root, h.Operator)
}

// waitInForce waits until every entry host has the version in force and returns
// nil. If ctx ends first, it returns the names of the hosts that lack it.
func (c *command) waitInForce(ctx context.Context, version uint64) []string {
	missing := []string{"all hosts"}
	for {
		var report controlapi.StatusReport
		if err := c.client.get(ctx, controlapi.PathStatus, &report); err == nil {
			missing = hostsBehind(&report, version)
		}
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return missing
		}
	}
}

// hostsBehind returns the names of the entry hosts in the report whose version in
// force is older than version, and the leader if the report itself is of an older
// version.
func hostsBehind(report *controlapi.StatusReport, version uint64) []string {
	var names []string
	for _, h := range report.Hosts {
		if h.Role == bundle.RoleEntry && h.Version < version {
			names = append(names, h.Host)
		}
	}
	if report.Version < version {
		names = append(names, "control host "+report.Leader)
	}
	return names
}
