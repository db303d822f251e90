package claims

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// memoryLog is a Log in memory whose contents survive a restart of the store.
type memoryLog struct {
	mu          sync.Mutex
	incarnation string
	opened      bool
	records     [][]byte
	first       uint64 // index of records[0]
	snapIndex   uint64
	snap        []byte
	fail        error
}

func newMemoryLog() *memoryLog { return &memoryLog{incarnation: uuid.NewString(), first: 1} }

func (l *memoryLog) Append(first uint64, records [][]byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail != nil {
		return l.fail
	}
	if want := l.first + uint64(len(l.records)); first != want {
		return fmt.Errorf("record %d appended, want %d", first, want)
	}
	l.records = append(l.records, records...)
	return nil
}

func (l *memoryLog) SaveSnapshot(index uint64, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[index+1-l.first:]
	l.first, l.snapIndex, l.snap = index+1, index, data
	return nil
}

func (l *memoryLog) recover() *Recovered {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := !l.opened
	l.opened = true
	return &Recovered{
		Incarnation: l.incarnation, Fresh: fresh, SnapshotIndex: l.snapIndex, Snapshot: l.snap,
		Records: l.records, LastIndex: l.first + uint64(len(l.records)) - 1,
	}
}

// cluster runs claim stores on loopback.
type cluster struct {
	t           testing.TB
	clockOffset atomic.Int64 // nanoseconds added to the clocks of all stores and clients
	stores      []Store
	nodes       []*node
	peers       *peer.Client
}

type node struct {
	log     Log
	recover func() *Recovered
	service atomic.Pointer[StoreService] // replaced by a restart, while late calls may still read it
	stop    func()
	down    atomic.Bool
	ended   chan error // result of Run
}

func startCluster(t testing.TB, n int) *cluster {
	return startClusterOn(t, n, func() (Log, func() *Recovered) { m := newMemoryLog(); return m, m.recover })
}

func startClusterOn(t testing.TB, n int, open func() (Log, func() *Recovered)) *cluster {
	c := &cluster{t: t, peers: peer.NewClient("entry")}
	t.Cleanup(c.peers.Close)
	var listeners []net.Listener
	for i := range n {
		l := nettest.Listen(t)
		listeners = append(listeners, l)
		c.stores = append(c.stores, Store{Name: fmt.Sprint("control-", i), Peer: l.Addr().String()})
		disk, recover := open()
		c.nodes = append(c.nodes, &node{log: disk, recover: recover})
	}
	for i, l := range listeners {
		c.start(i, l, true)
	}
	for i := range n {
		c.awaitReady(i)
	}
	return c
}

func (c *cluster) start(i int, l net.Listener, founding bool) {
	c.t.Helper()
	n := c.nodes[i]
	peers := peer.NewClient(c.stores[i].Name)
	service, err := NewStoreService(StoreOptions{
		Name: c.stores[i].Name, Log: n.log, Recovered: n.recover(), Peers: peers, Founding: founding,
		Stores: func() []Store { return c.stores }, Now: c.now, Logger: log.New(&testWriter{t: c.t}),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	srv := peer.NewServer(c.stores[i].Name)
	n.service.Store(service)
	service.Register(srv)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = srv.Serve(ctx, l) })
	n.ended = make(chan error, 1)
	ended := n.ended
	wg.Go(func() { ended <- service.Run(ctx) })
	n.down.Store(false)
	n.stop = sync.OnceFunc(func() { n.down.Store(true); cancel(); _ = l.Close(); peers.Close(); wg.Wait() })
	c.t.Cleanup(n.stop)
}

// restart stops a store and starts it again with its disk, or with an empty one.
func (c *cluster) restart(i int, lostDisk bool) {
	c.t.Helper()
	c.nodes[i].stop()
	if lostDisk {
		m := newMemoryLog()
		c.nodes[i].log, c.nodes[i].recover = m, m.recover
	}
	l, err := net.Listen("tcp", c.stores[i].Peer)
	if err != nil {
		c.t.Fatal(err)
	}
	c.start(i, l, true)
}

func (c *cluster) now() time.Time { return time.Now().Add(time.Duration(c.clockOffset.Load())) }

func (c *cluster) awaitReady(i int) {
	c.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !c.nodes[i].service.Load().Ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("store %d is not ready after 20 s", i)
		}
	}
}

// awaitRecords waits until every store holds n records.
func (c *cluster) awaitRecords(n int) {
	c.t.Helper()
	for _, node := range c.nodes {
		for deadline := time.Now().Add(20 * time.Second); node.service.Load().Len() != n; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				c.t.Fatalf("a store has %d records after 20 s, want %d", node.service.Load().Len(), n)
			}
		}
	}
}

func (c *cluster) client(host string) *Client {
	return NewClient(host, uuid.NewString(), func() []Store { return c.stores }, c.peers, c.now)
}

// local returns a client that calls the stores without a network.
func (c *cluster) local(host string) (*Client, *localTransport) {
	l := &localTransport{c: c}
	return newClient(host, uuid.NewString(), func() []Store { return c.stores }, l, c.now), l
}

type testWriter struct{ t testing.TB }

func (w *testWriter) Write(p []byte) (int, error) { return len(p), nil }

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func answer(text string) claim.Answer { return claim.Answer{Status: 201, Body: []byte(text)} }
