package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/controlapi"
	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/proc"
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

var (
	rounds = flag.Int("rounds", 3, "rounds of each test that runs processes")
	blocks = flag.Int("blocks", 0, "number of generated caller blocks that replace those of the example, for measurements")
)

const (
	// processTimeout bounds each wait for a process and each command.
	processTimeout = 60 * time.Second
	watchInterval  = 10 * time.Millisecond
)

// deployment runs the Ireland example as processes on loopback addresses.
type deployment struct {
	t      *testing.T
	folder string
	bundle *bundle.Bundle
	files  map[string]string // settings file by host
	procs  map[string]*proc.Process
	ctl    map[string]string // settings file of hornbeamctl by operator
	client *peer.Client

	mu       sync.Mutex
	accepted map[uint64]bundle.Digest // root by accepted version
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, folder: t.TempDir(), procs: map[string]*proc.Process{}, ctl: map[string]string{},
		client: peer.NewClient("test"), accepted: map[uint64]bundle.Digest{}}
	t.Cleanup(d.client.Close)
	build := exec.Command("go", "build", "-o", d.folder, "../../cmd/hornbeam-control", "../../cmd/hornbeam-entry")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	text, err := os.ReadFile("../../examples/ireland.toml")
	if err != nil {
		t.Fatal(err)
	}
	// The addresses depend on the process id, so that concurrent runs on one
	// machine do not collide.
	text = bytes.ReplaceAll(text, []byte(`"127.1.`), fmt.Appendf(nil, `"127.%d.`, 100+os.Getpid()%100))
	if *blocks > 0 {
		text, _, _ = bytes.Cut(text, []byte("[[blocks]]"))
		text = append(text, manyBlocks(*blocks)...)
	}
	file := filepath.Join(d.folder, "bundle.toml")
	d.must(os.WriteFile(file, text, 0o644))
	d.bundle, err = readBundle(file)
	d.must(err)
	keys := d.operators("ann", "ben")
	d.files, err = settings.WriteForBundle(d.folder, d.bundle, keys)
	d.must(err)
	for _, h := range d.bundle.Hosts {
		d.start(h.Name, h.Role == bundle.RoleControl)
	}
	t.Cleanup(func() {
		for _, p := range d.procs {
			p.Kill()
		}
	})
	d.run("ann", "bundle", "sign", file, "--previous", "0")
	d.run("ann", "bundle", "rollout", file+".signed", "--wait")
	return d
}

// manyBlocks returns n caller blocks, spread over the zones of the example, in TOML.
func manyBlocks(n int) string {
	var out strings.Builder
	zones := []string{"cork-a", "limerick-b", "dublin-a", "kilkenny-b", "galway-a", "sligo-b"}
	for z, zone := range zones {
		fmt.Fprintf(&out, "[[blocks]]\nzone = %q\nprefixes = [\n", zone)
		for i := z; i < n; i += len(zones) {
			fmt.Fprintf(&out, "\"%d.%d.%d.0/24\",\n", 10+i>>16, i>>8&255, i&255)
		}
		out.WriteString("]\n")
	}
	return out.String()
}

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

// operators creates a key and hornbeamctl settings for each operator and returns
// the public keys by name.
func (d *deployment) operators(names ...string) map[string]string {
	keys := map[string]string{}
	for _, name := range names {
		file := filepath.Join(d.folder, name+".key")
		var out bytes.Buffer
		if code := Run(context.Background(), []string{"key", "new", file}, &out, &out); code != ExitDone {
			d.t.Fatal(out.String())
		}
		keys[name] = strings.TrimSpace(out.String())
		d.ctl[name] = filepath.Join(d.folder, name+".ctl.toml")
		d.must(settings.Write(d.ctl[name], settings.CtlFor(d.bundle, name, file)))
	}
	return keys
}

func (d *deployment) start(host string, founding bool) {
	program, args := "hornbeam-entry", []string{"--settings", d.files[host]}
	if strings.HasPrefix(host, "control") {
		program = "hornbeam-control"
	}
	if founding {
		args = append(args, "--founding")
	}
	p, err := proc.Start(d.folder, host, filepath.Join(d.folder, program), args...)
	d.must(err)
	d.procs[host] = p
}

// run executes a command of an operator, which must succeed, and records the
// accepted version. It returns nil if no version was accepted.
func (d *deployment) run(operator string, line ...string) *history.Result {
	var out, errOut bytes.Buffer
	line = append(line, "--settings", d.ctl[operator], "--json", "--timeout", processTimeout.String())
	if code := Run(context.Background(), line, &out, &errOut); code != ExitDone {
		d.t.Errorf("hornbeamctl %v: exit code %d: %s", line, code, errOut.String())
		return nil
	}
	result := &history.Result{}
	if json.Unmarshal(out.Bytes(), result) != nil || result.Accepted == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if root, ok := d.accepted[result.Accepted.Version]; ok && root != result.Accepted.Root {
		d.t.Errorf("version %d was accepted twice with different roots", result.Accepted.Version)
	}
	d.accepted[result.Accepted.Version] = result.Accepted.Root
	return result
}

// leader waits for a leader that a confirmed read names, and returns its name.
func (d *deployment) leader() string {
	for deadline := time.Now().Add(processTimeout); time.Now().Before(deadline); time.Sleep(watchInterval) {
		var report controlapi.StatusReport
		c := &client{addrs: settings.CtlFor(d.bundle, "", "").ControlHosts, http: http.DefaultClient}
		if c.get(context.Background(), controlapi.PathStatus, &report) == nil && !report.Stale {
			return report.Leader
		}
	}
	d.t.Fatal("no confirmed status named a leader within the timeout")
	return ""
}

func (d *deployment) entries() []bundle.Host {
	return slices.DeleteFunc(slices.Clone(d.bundle.Hosts), func(h bundle.Host) bool { return h.Role != bundle.RoleEntry })
}

// version asks a host for its version in force.
func (d *deployment) version(h *bundle.Host) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := peer.Call[rollout.FetchRequest, rollout.FetchReply](ctx, d.client, h.Peer, rollout.MethodFetch, rollout.FetchRequest{OnlyVersion: true})
	return reply.Version, err
}

// watch polls the version in force on each entry host; a host whose version goes
// back fails the test. The returned function waits for a version on all hosts,
// stops polling, and returns the time at which each host was first seen with that
// version or a newer one.
func (d *deployment) watch() (inForce func(version uint64) []time.Time) {
	type sighting struct {
		version uint64
		at      time.Time
	}
	seen := make([][]sighting, len(d.entries()))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, h := range d.entries() {
		wg.Go(func() {
			last := uint64(0)
			for ; ctx.Err() == nil; time.Sleep(watchInterval) {
				version, err := d.version(&h)
				if err != nil {
					continue
				}
				if version < last {
					d.t.Errorf("%s: version in force went back from %d to %d", h.Name, last, version)
				}
				if version > last {
					last = version
					seen[i] = append(seen[i], sighting{version, time.Now()})
				}
			}
		})
	}
	return func(version uint64) []time.Time {
		d.waitVersion(version)
		time.Sleep(5 * watchInterval) // lets each poll loop see the version as well
		cancel()
		wg.Wait()
		var times []time.Time
		for i, h := range d.entries() {
			n := slices.IndexFunc(seen[i], func(s sighting) bool { return s.version >= version })
			if n < 0 {
				d.t.Fatalf("%s was never seen with version %d or newer", h.Name, version)
			}
			times = append(times, seen[i][n].at)
		}
		return times
	}
}

// waitVersion waits until every entry host has the version or a newer one in force.
func (d *deployment) waitVersion(version uint64) {
	for _, h := range d.entries() {
		deadline := time.Now().Add(processTimeout)
		for {
			if v, err := d.version(&h); err == nil && v >= version {
				break
			}
			if time.Now().After(deadline) {
				d.t.Fatalf("%s did not reach version %d within the timeout", h.Name, version)
			}
			time.Sleep(watchInterval)
		}
	}
}

// checkHistory fails the test if an accepted version is lost or has another root.
func (d *deployment) checkHistory() {
	d.t.Helper()
	for version, root := range d.accepted {
		var out bytes.Buffer
		if code := Run(context.Background(), []string{"bundle", "show", fmt.Sprint(version), "--json", "--settings", d.ctl["ann"]}, &out, &out); code != ExitDone {
			d.t.Errorf("accepted version %d cannot be shown: %s", version, out.String())
			continue
		}
		var detail controlapi.VersionDetail
		d.must(json.Unmarshal(out.Bytes(), &detail))
		if detail.Header.Root != root {
			d.t.Errorf("version %d was accepted with root %s but now has root %s", version, root, detail.Header.Root)
		}
	}
}

// report sorts the delays and logs their percentiles.
func report(t *testing.T, what string, delays []time.Duration) {
	slices.Sort(delays)
	t.Logf("%s: n=%d p50=%v p99=%v max=%v", what, len(delays), delays[len(delays)/2], delays[len(delays)*99/100], delays[len(delays)-1])
}
