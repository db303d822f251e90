// Package cluster runs a whole deployment in one process: control hosts, entry
// hosts and stand-in targets, each on its own loopback address and connected by
// real sockets. Measurements and integration tests use it.
package cluster

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/node"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// operator is the name that bundles are signed under.
const operator = "cluster-operator"

// Options describe a deployment to start.
type Options struct {
	BundleFile string                // TOML text of the first version
	Bundle     *bundle.Bundle        // first version; takes precedence over BundleFile
	Folder     string                // settings and data, removed by Stop; a temporary folder if empty
	Targets    map[string]int        // number of stand-in targets by service, spread over the zones round-robin; none if nil
	Zones      []string              // availability zones that targets run in; all if empty
	MeanWork   time.Duration         // mean of the exponential work time
	Seed       uint64                // base of the random seeds of the targets' work times
	Edit       func(*bundle.Bundle)  // modifies the first version before it is rolled out, if not nil
	Entry      []node.EntryOption    // passed to every entry host
	Target     func(*standin.Config) // modifies the settings of each target before it starts, if not nil
}

// Cluster is a running deployment.
type Cluster struct {
	Bundle   *bundle.Bundle           // version 1
	Controls map[string]*node.Control // by host name
	Entries  map[string]*node.Entry   // by host name
	Targets  []*standin.Target

	options Options
	key     ed25519.PrivateKey
	files   map[string]string // settings file by host name
	current *bundle.Bundle    // newest version that a control host accepted
	root    bundle.Digest     // root digest of current
}

// Start starts all hosts and targets and returns once every entry host has the
// first version in force. After an error everything is stopped again.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	b, err := o.bundle()
	if err != nil {
		return nil, err
	}
	if o.Edit != nil {
		o.Edit(b)
	}
	if o.Folder == "" {
		if o.Folder, err = os.MkdirTemp("", "hornbeam-cluster-"); err != nil {
			return nil, err
		}
	}
	c := &Cluster{Bundle: b, Controls: map[string]*node.Control{}, Entries: map[string]*node.Entry{}, options: o}
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// bundle returns Bundle, or parses BundleFile if Bundle is nil.
func (o *Options) bundle() (*bundle.Bundle, error) {
	if o.Bundle != nil {
		return o.Bundle, nil
	}
	text, err := os.ReadFile(o.BundleFile)
	if err != nil {
		return nil, err
	}
	b, found := bundle.Parse(o.BundleFile, text)
	return b, found.Err()
}

// start writes the settings of all hosts, starts hosts and targets and rolls out
// the first version.
func (c *Cluster) start(ctx context.Context) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	c.key = private
	keys := map[string]string{operator: base64.StdEncoding.EncodeToString(public)}
	c.files, err = settings.WriteForBundle(c.options.Folder, c.Bundle, keys)
	if err != nil {
		return err
	}
	for _, h := range c.Bundle.Hosts {
		if err := c.startHost(h, c.files[h.Name]); err != nil {
			return fmt.Errorf("start %s: %w", h.Name, err)
		}
	}
	if err := c.startTargets(); err != nil {
		return err
	}
	return c.Rollout(ctx, c.Bundle)
}

// startHost starts a control host or entry host from its settings file, logging
// errors only and without a trace file.
func (c *Cluster) startHost(h bundle.Host, file string) error {
	if h.Role == bundle.RoleControl {
		s, err := settings.LoadControl(file)
		if err != nil {
			return err
		}
		s.LogLevel, s.TraceFile = "error", ""
		c.Controls[h.Name], err = node.StartControl(s, true)
		return err
	}
	s, err := settings.LoadEntry(file)
	if err != nil {
		return err
	}
	s.LogLevel, s.TraceFile = "error", ""
	e, err := node.StartEntry(s, c.options.Entry...)
	if err == nil {
		c.Entries[h.Name] = e
	}
	return err
}

// RestartAll stops the named entry hosts without graceful shutdown and, once all
// of them have stopped, starts them again.
func (c *Cluster) RestartAll(names []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no graceful shutdown
	for _, name := range names {
		_ = c.Entries[name].Stop(ctx)
		delete(c.Entries, name)
	}
	for _, h := range c.Bundle.Hosts {
		if !slices.Contains(names, h.Name) {
			continue
		}
		if err := c.startHost(h, c.files[h.Name]); err != nil {
			return fmt.Errorf("restart %s: %w", h.Name, err)
		}
	}
	return nil
}

// Stop stops all targets and hosts without graceful shutdown, control hosts last,
// and removes the folder.
func (c *Cluster) Stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no graceful shutdown: requests in flight are aborted
	var wg sync.WaitGroup
	for _, t := range c.Targets {
		wg.Go(t.Kill)
	}
	for _, e := range c.Entries {
		wg.Go(func() { _ = e.Stop(ctx) })
	}
	wg.Wait()
	for _, h := range c.Controls {
		wg.Go(func() { _ = h.Stop(ctx) })
	}
	wg.Wait()
	_ = os.RemoveAll(c.options.Folder)
}

// Rollout submits the next version and returns once every entry host has it in
// force, or with an error when ctx ends.
func (c *Cluster) Rollout(ctx context.Context, next *bundle.Bundle) error {
	if err := c.Submit(ctx, next); err != nil {
		return err
	}
	for name, e := range c.Entries {
		for e.Version() < next.Version {
			select {
			case <-ctx.Done():
				return fmt.Errorf("version %d is not in force on %s: %w", next.Version, name, ctx.Err())
			case <-time.After(time.Millisecond):
			}
		}
	}
	return nil
}

// Next returns a shallow copy of the newest accepted version with its version
// number incremented.
func (c *Cluster) Next() *bundle.Bundle {
	next := *c.current
	next.Version++
	return &next
}
