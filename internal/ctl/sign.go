package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"os"

	"github.com/hornbeamstack/hornbeamstack/internal/controlapi"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// sign checks a bundle file and writes a signed file. Without --previous the
// bundle is also checked against the newest accepted version.
func (c *command) sign(ctx context.Context, a *signArgs) error {
	b, err := readBundle(a.File)
	if err != nil {
		return err
	}
	previous, err := c.previousRoot(ctx, a, b)
	if err != nil {
		return err
	}
	signed, err := c.signBundle(b, previous)
	if err != nil {
		return err
	}
	out := a.Out
	if out == "" {
		out = a.File + ".signed"
	}
	data, err := json.MarshalIndent(signed, "", "  ")
	if err != nil {
		return failed("encode signed bundle: %w", err)
	}
	if err := os.WriteFile(out, append(data, '\n'), 0o644); err != nil {
		return failed("%w", err)
	}
	return c.print(map[string]any{"file": out, "header": signed.Header},
		"%s: version %d, previous root %s, root %s, operator %s", out, b.Version, previous, signed.Header.Root, signed.Header.Operator)
}

// signBundle signs b with the operator's key, as the successor of the version whose
// root is previous.
func (c *command) signBundle(b *bundle.Bundle, previous bundle.Digest) (*bundle.Signed, error) {
	operator, key, err := c.signer()
	if err != nil {
		return nil, err
	}
	header := bundle.Sign(b.Version, previous, b.Root(), operator, key)
	signed, err := bundle.NewSigned(header, b, nil)
	if err != nil {
		return nil, failed("%w", err)
	}
	return signed, nil
}

// previousRoot returns the root of the version that b follows: the one given by
// --previous, or else that of the newest accepted version, against which it then
// checks b.
func (c *command) previousRoot(ctx context.Context, a *signArgs, b *bundle.Bundle) (bundle.Digest, error) {
	var root bundle.Digest
	switch a.Previous {
	case "":
	case "0":
		return root, nil
	default:
		if err := root.UnmarshalText([]byte(a.Previous)); err != nil {
			return root, badInput("--previous: %w", err)
		}
		return root, nil
	}
	current, content, err := c.current(ctx)
	if err != nil {
		return root, err
	}
	if current != nil {
		root = current.Header.Root
	}
	if found := bundle.Check(b, content); len(found) > 0 {
		return root, &exitError{ExitUsage, found}
	}
	return root, nil
}

// current returns the newest accepted version and its content. Both are nil if
// no version has been accepted.
func (c *command) current(ctx context.Context) (*controlapi.VersionDetail, *bundle.Bundle, error) {
	control, err := c.control()
	if err != nil {
		return nil, nil, err
	}
	detail := &controlapi.VersionDetail{}
	err = control.get(ctx, controlapi.PathBundles+"/"+controlapi.CurrentVersion, detail)
	var remote *remoteError
	if errors.As(err, &remote) && remote.Code == controlapi.CodeNotFound {
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	b, err := bundle.DecodeSnapshot(detail.Content)
	if err != nil {
		return nil, nil, failed("version %d: %w", detail.Header.Version, err)
	}
	return detail, b, nil
}

// findingsOf returns the findings wrapped in err, or nil.
func findingsOf(err error) finding.List {
	var found finding.List
	if errors.As(err, &found) {
		return found
	}
	return nil
}
