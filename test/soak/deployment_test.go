package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/proc"
	"github.com/hornbeamstack/hornbeamstack/platform"
)

const (
	// Some control hosts are not among the seeds of the settings, so that the leader
	// may be a host that is no seed.
	controlHosts, seedHosts, entryHosts = 5, 3, 4
	heartbeat                           = 300 * time.Millisecond
	// drainBound is the time after which no request may reach a leaving target,
	// counted from the acknowledgement of its departure and from the last fault.
	drainBound    = 2500 * time.Millisecond
	shutdownGrace = 6 * time.Second // GraceS of the settings
	// waitTimeout bounds the wait for states that must be reached eventually. No
	// guarantee depends on its value.
	waitTimeout = 60 * time.Second
)

// member is one process of the deployment.
type member struct {
	name, bin, data, settings, ip, log string

	process *proc.Process
	logged  int // length of the log file in bytes at the last start
}

// hasStarted reports whether the process has logged its start. Before that it has
// no work that a signal could interrupt.
func (m *member) hasStarted() bool {
	text, err := os.ReadFile(m.log)
	return err != nil || bytes.Contains(text[m.logged:], []byte("host started"))
}

// deployment is a running deployment with its callers, targets and injected faults.
type deployment struct {
	t       *testing.T
	seed    uint64
	folder  string
	random  *rand.Rand
	cuts    *rand.Rand // separate, so that seeds play the other faults as before there were cuts
	members []*member
	fronts  []string // addresses of the relays in front of the entry hosts
	control []string // addresses of the relays in front of the control hosts
	relays  []*relay // relays of the hosts; those of targets are in target.relay
	ledger  *ledger
	client  *http.Client

	routeTimeout time.Duration
	diskLost     bool // a control host has lost its disk

	mu       sync.Mutex
	ended    bool
	targets  []*target
	sent     []sent
	acked    int       // highest acknowledged policy version
	faultAt  time.Time // last call of markFault
	findings []string
}

// addFinding records a violated guarantee.
func (d *deployment) addFinding(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.findings = append(d.findings, fmt.Sprintf(format, args...))
}

// hasEnded reports whether callers have to stop.
func (d *deployment) hasEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

func (d *deployment) recordRequest(s sent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent = append(d.sent, s)
}

// markFault records that a fault begins, or that the effects of one go on.
func (d *deployment) markFault() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faultAt = time.Now()
}

// faultFreeFor reports whether the last fault was longer ago than period.
func (d *deployment) faultFreeFor(period time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.faultAt) > period
}

// newDeployment starts the processes and relays of a deployment.
func newDeployment(t *testing.T, seed uint64) *deployment {
	d := &deployment{t: t, seed: seed, folder: t.TempDir(), random: rand.New(rand.NewPCG(seed, 7)), cuts: rand.New(rand.NewPCG(seed, 9)),
		routeTimeout: 2 * time.Second, ledger: &ledger{runs: map[string]*record{}}, client: &http.Client{Timeout: 2 * time.Second}}
	ip := func(i int) string { return fmt.Sprintf("127.80.%d.%d", seed%250+1, i+1) }
	var seedList []string
	for i := range controlHosts {
		d.control = append(d.control, d.startRelay(ip(i)+":8101"))
		if i < seedHosts {
			seedList = append(seedList, fmt.Sprintf("%q", ip(i)+":8101"))
		}
	}
	for i := range controlHosts + entryHosts {
		m := &member{name: fmt.Sprintf("core-%d", i), bin: "hornbeam-core"}
		listen := fmt.Sprintf("Control = %q\nDirectory = %q", ip(i)+":8101", ip(i)+":8102")
		if i >= controlHosts {
			m.name, m.bin = fmt.Sprintf("gateway-%d", i-controlHosts), "hornbeam-gateway"
			listen = fmt.Sprintf("Front = %q\nReady = %q", ip(i)+":8103", ip(i)+":8104")
			d.fronts = append(d.fronts, d.startRelay(ip(i)+":8103"))
		}
		file := filepath.Join(d.folder, m.name)
		m.data, m.settings, m.log = file+"-data", file+".toml", file+".log"
		m.ip = ip(i)
		d.configure(m, i, seedList, listen)
		d.members = append(d.members, m)
	}
	for _, m := range d.members {
		d.start(m)
	}
	return d
}

// startRelay starts a relay in front of an address and returns the relay's address.
func (d *deployment) startRelay(address string) string {
	r, err := newRelay(address, d.random.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	d.relays = append(d.relays, r)
	return r.address()
}

// seesAllVoters reports whether the control host m counts all control hosts as voters.
func (d *deployment) seesAllVoters(m *member) bool {
	r, err := d.client.Get(fmt.Sprintf("http://%s:%d/metrics", m.ip, platform.MetricsPort))
	if err != nil {
		return false
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return err == nil && strings.Contains(string(text), fmt.Sprintf("\nagreement.voters %d\n", controlHosts))
}

// disableBootstrap changes the settings for later starts: the deployment has been
// founded. It must not be called before the first version is acknowledged, since a
// process that is slow to start would read the changed settings at its first start.
func (d *deployment) disableBootstrap() {
	for _, m := range d.members {
		text, err := os.ReadFile(m.settings)
		if err == nil {
			err = os.WriteFile(m.settings, bytes.Replace(text, []byte("Bootstrap = true"), []byte("Bootstrap = false"), 1), 0o600)
		}
		if err != nil {
			d.t.Fatal(err)
		}
	}
}

// configure writes the settings of member i.
func (d *deployment) configure(m *member, i int, seedList []string, listen string) {
	text := fmt.Sprintf("NodeName = %q\nIp = %q\nZone = \"z%d\"\nRegion = \"r%d\"\nInternalPortRange = [8110, 8115]\nSeeds = [%s]\nBootstrap = true\nDataDir = %q\nHeartbeatS = %v\n"+
		"Bounds = [\"GraceS=%v\", \"RetryBudgetRatio=0.2\", \"RetryBudgetSlack=100\", \"BudgetWindowS=10\"]\n[Zones]\nz0 = \"r0\"\nz1 = \"r1\"\nz2 = \"r0\"\n[Listen]\n%s\n[Limits]\nMemoryMb = 200\n",
		m.name, m.ip, i%3, i%2, strings.Join(seedList, ", "), m.data, heartbeat.Seconds(), shutdownGrace.Seconds(), listen)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// start starts the process of m, which must not be running.
func (d *deployment) start(m *member) {
	if text, err := os.ReadFile(m.log); err == nil { // the file does not exist before the first start
		m.logged = len(text)
	}
	p, err := proc.StartEnv(d.folder, m.name, []string{platform.SettingsVariable + "=" + m.settings}, filepath.Join(binaries, m.bin))
	if err != nil {
		d.t.Fatal(err)
	}
	m.process = p
}

// controlStatus sends a request to a control host and returns the response's status,
// 0 if there is no complete response.
func (d *deployment) controlStatus(method, path string, body []byte, host int) int {
	status, _ := d.controlCall(method, path, body, host)
	return status
}

// controlCall sends a request to a control host and returns the response's status and
// body, 0 and "" if there is no complete response.
func (d *deployment) controlCall(method, path string, body []byte, host int) (int, string) {
	r, err := http.NewRequest(method, "http://"+d.control[host%len(d.control)]+path, bytes.NewReader(body))
	if err != nil {
		d.t.Error(err)
		return 0, ""
	}
	answer, err := d.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(text)
}

// policyDocument returns a policy with the given version and a rule for each kind of
// request.
func (d *deployment) policyDocument(version int) []byte {
	rule := func(kind string) string {
		return fmt.Sprintf(`{"Name":%q,"Kind":%q,"TargetLatencyS":0.5,"Sticky":true,"Match":{"PathPrefix":"/%s/"},"Action":{"Service":"work","TimeoutS":%v,"MaxAttempts":2}}`, kind, kind, kind, d.routeTimeout.Seconds())
	}
	return []byte(fmt.Sprintf(`{"Version":"%08x","Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutS":3,"IdleTimeoutS":15},"Listeners":[{"Host":"h.example","Rules":[%s,%s,%s]}],"Clusters":[{"Name":"work","HealthCheckPath":"/h","MaxConnections":100,"ColdStartS":1,"ColdPerS":50}]}`,
		version, rule("safe"), rule("unsafe"), rule("download")))
}

// submitVersion submits a policy version until it is acknowledged or refused, at most
// tries times, and reports whether it was acknowledged.
func (d *deployment) submitVersion(version, tries int) bool {
	for i := range tries {
		switch d.controlStatus("PUT", "/v1/config", d.policyDocument(version), version+i) {
		case http.StatusOK:
			d.mu.Lock()
			d.acked = max(d.acked, version)
			d.mu.Unlock()
			return true
		case http.StatusBadRequest, http.StatusConflict:
			d.addFinding("control host refused policy version %d", version)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// readBack checks that a control host does not return an older policy version than
// the newest one that was acknowledged before the call.
func (d *deployment) readBack(host int) {
	d.mu.Lock()
	least := d.acked
	d.mu.Unlock()
	status, body := d.controlCall("GET", "/v1/config", nil, host)
	if status != http.StatusOK {
		return
	}
	p, found := platform.DecodePolicy([]byte(body))
	if len(found) > 0 || int(p.Version) < least {
		d.addFinding("control host %d returned a policy that is invalid or older than acknowledged version %d: %.80s", host%controlHosts, least, body)
	}
}
