package faults

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/proc"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	bundleFile = "../../examples/demo.toml"
	// waitTimeout bounds the wait for states that must be reached eventually. No
	// guarantee depends on its value.
	waitTimeout = 60 * time.Second
)

// binaries is the folder of the programs, which are built once for all tests.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "hornbeam-faults-")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", folder+"/", "../../cmd/hornbeam-entry", "../../cmd/hornbeam-control", "../../cmd/hornbeam-standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	binaries = folder
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// deployment is the demo's deployment, run as separate processes.
type deployment struct {
	t       *testing.T
	bundle  *bundle.Bundle
	folder  string
	files   map[string]string             // settings file by host
	hosts   map[string]*proc.Process      // last started process by host
	targets []string                      // IP:port of the targets
	started []*proc.Process               // all processes, ended ones included
	network *network                      // nil without relays
	keys    map[string]ed25519.PrivateKey // by operator
	current *bundle.Bundle                // last accepted version
	root    bundle.Digest                 // root of current
}

// start starts all hosts and targets, rolls out the first version and waits until all
// entry hosts serve. With relays, messages between hosts pass through d.network.
func start(t *testing.T, relays bool) *deployment {
	t.Helper()
	text, err := os.ReadFile(bundleFile)
	if err != nil {
		t.Fatal(err)
	}
	b, found := bundle.Parse(bundleFile, text)
	if err := found.Err(); err != nil {
		t.Fatal(err)
	}
	d := &deployment{t: t, bundle: b, folder: t.TempDir(), hosts: map[string]*proc.Process{}, keys: map[string]ed25519.PrivateKey{}}
	t.Cleanup(d.stop)
	public := map[string]string{}
	for i, name := range []string{"first", "second"} {
		key := ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+i)), ed25519.SeedSize)))
		d.keys[name] = key
		public[name] = base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
	}
	if d.files, err = settings.WriteForBundle(d.folder, b, public); err != nil {
		t.Fatal(err)
	}
	if relays {
		d.addRelays()
	}
	for _, h := range b.Hosts {
		d.run(h.Name, h.Role == bundle.RoleControl)
	}
	d.startTargets()
	d.mustRollout(b)
	d.waitServing()
	return d
}

// run starts the process of a host. Founding must be true at the first start of a
// control host and false otherwise.
func (d *deployment) run(host string, founding bool) {
	d.t.Helper()
	program, args := "hornbeam-entry", []string{"--settings", d.files[host]}
	if d.host(host).Role == bundle.RoleControl {
		program = "hornbeam-control"
	}
	if founding {
		args = append(args, "--founding")
	}
	p, err := proc.Start(d.folder, host, filepath.Join(binaries, program), args...)
	if err != nil {
		d.t.Fatal(err)
	}
	d.hosts[host] = p
	d.started = append(d.started, p)
}

func (d *deployment) host(name string) bundle.Host {
	for _, h := range d.bundle.Hosts {
		if h.Name == name {
			return h
		}
	}
	d.t.Fatalf("host %q is not in the bundle", name)
	return bundle.Host{}
}

// hostNames returns the names of the hosts with a role, in one availability zone or,
// if zone is empty, in all.
func (d *deployment) hostNames(role bundle.Role, zone string) []string {
	var out []string
	for _, h := range d.bundle.Hosts {
		if h.Role == role && (zone == "" || h.AvailabilityZone == zone) {
			out = append(out, h.Name)
		}
	}
	return out
}

// splitByZone returns the names of the hosts in an availability zone and of all others.
func (d *deployment) splitByZone(zone string) (inside, outside []string) {
	for _, h := range d.bundle.Hosts {
		if h.AvailabilityZone == zone {
			inside = append(inside, h.Name)
		} else {
			outside = append(outside, h.Name)
		}
	}
	return inside, outside
}

// addRelays lets each host listen for peers on another port and starts a relay at the
// address that the bundle gives as its peer address.
func (d *deployment) addRelays() {
	d.network = newNetwork()
	for _, h := range d.bundle.Hosts {
		ip, _, _ := strings.Cut(h.Peer, ":")
		d.network.assignIP(ip, h.Name)
		real := ip + ":17000"
		text, err := os.ReadFile(d.files[h.Name])
		if err != nil {
			d.t.Fatal(err)
		}
		changed := strings.Replace(string(text), `peer_listen = ""`, fmt.Sprintf("peer_listen = %q", real), 1)
		if err := os.WriteFile(d.files[h.Name], []byte(changed), 0o644); err != nil {
			d.t.Fatal(err)
		}
		startRelay(d.t, d.network, h.Name, h.Peer, real)
	}
}

// startTargets starts a stand-in target for each service in each availability zone.
func (d *deployment) startTargets() {
	for i, z := range d.bundle.Zones {
		for k, s := range d.bundle.Services {
			address := standin.AddressIn(z, 10+k)
			args := []string{"--address", address, "--service", s.Name, "--zone", z.Name, "--slots", fmt.Sprint(s.Slots),
				"--connections", "100", "--mean-work", "10ms", "--seed", fmt.Sprint(10*i + k + 1)}
			for _, name := range d.hostNames(bundle.RoleEntry, z.Name) {
				args = append(args, "--entry", d.host(name).HTTP)
			}
			p, err := proc.Start(d.folder, fmt.Sprintf("target-%s-%s", z.Name, s.Name), filepath.Join(binaries, "hornbeam-standin"), args...)
			if err != nil {
				d.t.Fatal(err)
			}
			d.started = append(d.started, p)
			d.targets = append(d.targets, address)
		}
	}
}

// stop kills all processes and, if the test failed, logs the end of their log files.
func (d *deployment) stop() {
	for _, p := range d.started {
		if p.Running() {
			_ = p.Resume()
			p.Kill()
		}
	}
	if !d.t.Failed() {
		return
	}
	for _, p := range d.started {
		text, err := os.ReadFile(p.Log)
		if err == nil && len(text) > 0 {
			lines := strings.Split(strings.TrimSpace(string(text)), "\n")
			d.t.Logf("last lines of %s:\n%s", p.Name, strings.Join(lines[max(0, len(lines)-6):], "\n"))
		}
	}
}
