// Package demo starts a deployment on loopback addresses and demonstrates its main
// functions: bundle roll-out, look-up, repeatable and run-once requests, tracing and
// graceful shutdown.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/proc"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	operator     = "demo-operator"       // name that the bundle is signed under
	stopLimit    = 15 * time.Second      // for the graceful shutdown of each process
	pollInterval = 50 * time.Millisecond // between polls of readiness and of a resend
)

// demo holds the state of one run.
type demo struct {
	out    io.Writer
	bin    string // folder of the programs
	folder string // settings, logs, traces, data
	bundle *bundle.Bundle
	text   string // TOML file of the bundle

	settings map[string]string // settings file by host
	ctl      string            // settings file of hornbeamctl
	hosts    []*proc.Process   // in start order
	targets  []*proc.Process
}

// Run executes all steps with the programs in folder bin and the bundle in
// bundleFile, printing progress to out. It stops at the first step that fails and
// returns its error. Settings, logs and traces are removed unless keep is set.
func Run(ctx context.Context, out io.Writer, bin, bundleFile string, keep bool) error {
	folder, err := os.MkdirTemp("", "hornbeam-demo-")
	if err != nil {
		return err
	}
	d := &demo{out: out, bin: bin, folder: folder, text: bundleFile}
	defer d.cleanUp(keep)
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"write settings and keys", d.prepare},
		{"start control hosts, entry hosts and targets", d.start},
		{"sign and roll out the bundle", d.rollOut},
		{"wait for entry hosts and targets", d.waitReady},
		{"send requests as a caller", d.call},
		{"show status", d.status},
		{"stop everything gracefully", d.stop},
		{"show the spans of a trace", d.showTrace},
	}
	for _, s := range steps {
		began := time.Now()
		d.printf("== %s", s.name)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w (logs in %s)", s.name, err, folder)
		}
		d.printf("   took %s", time.Since(began).Round(time.Millisecond))
	}
	return nil
}

// printf writes one line to the output of the demo.
func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

// prepare parses the bundle, generates the operator's key and writes the settings
// of every host and of hornbeamctl.
func (d *demo) prepare(ctx context.Context) error {
	text, err := os.ReadFile(d.text)
	if err != nil {
		return err
	}
	b, found := bundle.Parse(d.text, text)
	if err := found.Err(); err != nil {
		return err
	}
	d.bundle = b
	key := filepath.Join(d.folder, "operator.key")
	public, err := d.newKey(ctx, key)
	if err != nil {
		return err
	}
	d.settings, err = settings.WriteForBundle(d.folder, b, map[string]string{operator: public})
	if err != nil {
		return err
	}
	d.ctl = filepath.Join(d.folder, "ctl.toml")
	return settings.Write(d.ctl, settings.CtlFor(b, operator, key))
}

// cleanUp kills all processes that still run and removes the folder unless keep
// is set.
func (d *demo) cleanUp(keep bool) {
	for _, p := range append(d.targets, d.hosts...) {
		if p.Running() {
			p.Kill()
		}
	}
	if !keep {
		_ = os.RemoveAll(d.folder)
	}
}
