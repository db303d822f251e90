// Package demo starts the system on loopback addresses and shows the main job:
// roll-out, look-up, repeatable and run-once requests, traces, graceful shutdown.
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
	operator     = "demo-operator"
	stopLimit    = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// demo is the state of one run.
type demo struct {
	out    io.Writer
	bin    string // folder of the programs
	folder string // settings, logs, traces, data
	bundle *bundle.Bundle
	text   string // path of the bundle text

	settings map[string]string // settings file by host
	ctl      string            // settings file of hornbeamctl
	hosts    []*proc.Process   // in order of start
	targets  []*proc.Process
}

// Run shows the main job and returns the first step that failed.
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
		{"call as a caller", d.call},
		{"show status", d.status},
		{"stop everything gracefully", d.stop},
		{"show the spans of a trace", d.showTrace},
	}
	for _, s := range steps {
		began := time.Now()
		d.say("== %s", s.name)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w (logs in %s)", s.name, err, folder)
		}
		d.say("   took %s", time.Since(began).Round(time.Millisecond))
	}
	return nil
}

func (d *demo) say(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

// prepare generates the operator's key and renders the settings of every host.
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
