package ctl

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/controlapi"
	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
)

// cluster simulates three control hosts whose history machines apply the same log.
type cluster struct {
	t        *testing.T
	folder   string
	keys     map[string]ed25519.PublicKey
	machines []*history.Machine
	servers  []*httptest.Server
	peers    []string // addresses that accept status reports of hosts

	mu          sync.Mutex
	leader      int // index of the leader, -1 if there is none
	loseReplies int // proposals after which leadership is lost, although they were applied
	drop        int // POST requests whose connection is cut after they were handled
}

var names = []string{"control-1", "control-2", "control-3"}

func newCluster(t *testing.T, operators ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir(), keys: map[string]ed25519.PublicKey{}}
	for _, operator := range operators {
		key := filepath.Join(c.folder, operator+".key")
		if code, _, errText := c.ctl("key", "new", key); code != ExitDone {
			t.Fatal(errText)
		}
		private, err := readKey(key)
		if err != nil {
			t.Fatal(err)
		}
		c.keys[operator] = private.Public().(ed25519.PublicKey)
	}
	var members []settings.Member
	for range names {
		c.servers = append(c.servers, httptest.NewUnstartedServer(nil))
	}
	for i, name := range names {
		members = append(members, settings.Member{Name: name, HTTP: c.servers[i].Listener.Addr().String()})
	}
	for i := range names {
		c.start(i, members)
	}
	return c
}

func (c *cluster) start(i int, members []settings.Member) {
	quiet := log.New(io.Discard)
	machine := history.New(c.keys)
	server := peer.NewServer(names[i])
	c.serve(server)
	distributor := rollout.NewDistributor(server, peer.NewClient(names[i]), "127.0.0.1:1", func() bool { return false }, quiet)
	api := &controlapi.API{Host: names[i], Members: members, Group: &groupMember{c, i}, Machine: machine, Distributor: distributor,
		Metrics: metrics.NewRegistry(), Log: quiet, Client: http.DefaultClient}
	srv := khttp.NewServer(khttp.Timeout(0))
	api.Register(srv)
	c.machines = append(c.machines, machine)
	c.servers[i].Config.Handler = c.dropResponses(srv)
	c.servers[i].Start()
	c.t.Cleanup(c.servers[i].Close)
}

// serve starts a listener for status reports of hosts.
func (c *cluster) serve(server *peer.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.peers = append(c.peers, l.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx, l) }()
	c.t.Cleanup(func() { cancel(); <-done })
}

// report sends all control hosts the status of an entry host with version in force.
func (c *cluster) report(host string, version uint64) {
	client := peer.NewClient(host)
	defer client.Close()
	for _, addr := range c.peers {
		status := rollout.Status{Host: host, Version: version, Headroom: map[string]float64{"bookings": 0.25}}
		if _, err := peer.Call[rollout.Status, struct{}](context.Background(), client, addr, rollout.MethodStatus, status); err != nil {
			c.t.Fatal(err)
		}
	}
}

// dropResponses closes the connection of the next c.drop POST requests after they
// were handled, so that the response is lost.
func (c *cluster) dropResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		cut := r.Method == http.MethodPost && c.drop > 0
		if cut {
			c.drop--
		}
		c.mu.Unlock()
		if !cut {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})
}

// groupMember is the view of control host i on the agreement group of the cluster.
type groupMember struct {
	c *cluster
	i int
}

var errLost = errors.New("leadership was lost")

func (m *groupMember) Propose(_ context.Context, command []byte) ([]byte, error) {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.c.leader != m.i {
		return nil, &controlapi.NotLeaderError{}
	}
	var reply []byte
	for i, machine := range m.c.machines {
		if r := machine.Apply(0, command); i == m.i {
			reply = r
		}
	}
	if m.c.loseReplies > 0 {
		m.c.loseReplies--
		m.c.leader = (m.c.leader + 1) % len(names)
		return nil, errLost
	}
	return reply, nil
}

func (m *groupMember) Read(context.Context) error {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.c.leader != m.i {
		return &controlapi.NotLeaderError{}
	}
	return nil
}

func (m *groupMember) Leader() string {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	if m.c.leader < 0 {
		return ""
	}
	return names[m.c.leader]
}

// set changes the state of the cluster while holding mu.
func (c *cluster) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// ctl runs hornbeamctl with the given arguments.
func (c *cluster) ctl(line ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	code = Run(context.Background(), line, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// as runs hornbeamctl as an operator against all control hosts.
func (c *cluster) as(operator string, line ...string) (code int, out, errText string) {
	line = append(line, "--operator", operator, "--key", filepath.Join(c.folder, operator+".key"))
	for _, s := range c.servers {
		line = append(line, "--control", s.Listener.Addr().String())
	}
	return c.ctl(line...)
}

// file writes the demo bundle with edits (pairs of old and new text) and returns
// the path of the file.
func (c *cluster) file(name string, edits ...string) string {
	text, err := os.ReadFile("../../examples/demo.toml")
	if err != nil {
		c.t.Fatal(err)
	}
	edited := string(text)
	for i := 0; i < len(edits); i += 2 {
		if !strings.Contains(edited, edits[i]) {
			c.t.Fatalf("%q is not in the demo bundle", edits[i])
		}
		edited = strings.Replace(edited, edits[i], edits[i+1], 1)
	}
	file := filepath.Join(c.folder, name)
	if err := os.WriteFile(file, []byte(edited), 0o644); err != nil {
		c.t.Fatal(err)
	}
	return file
}
