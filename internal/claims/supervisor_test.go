package claims

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
)

// Close implements ClosingLog; the contents stay.
func (l *memoryLog) Close() error { return nil }

// setFull makes the log refuse records, or take them again.
func (l *memoryLog) setFull(full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail = nil
	if full {
		l.fail = syscall.ENOSPC
	}
}

// startSupervisedStores runs n stores under supervisors and returns their logs.
func startSupervisedStores(t *testing.T, c *cluster, n int) (logs []*memoryLog, supervisors []*Supervisor) {
	var listeners []net.Listener
	for i := range n {
		l := nettest.Listen(t)
		listeners = append(listeners, l)
		c.stores = append(c.stores, Store{Name: string(rune('a' + i)), Peer: l.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	for i, l := range listeners {
		m, server, peers := newMemoryLog(), peer.NewServer(c.stores[i].Name), peer.NewClient(c.stores[i].Name)
		s, err := NewSupervisor(StoreOptions{Name: c.stores[i].Name, Peers: peers, Founding: true,
			Stores: func() []Store { return c.stores }, Now: c.now, Logger: log.New(&testWriter{t: t})},
			func() (ClosingLog, *Recovered, error) { return m, m.recover(), nil }, server)
		if err != nil {
			t.Fatal(err)
		}
		ended.Go(func() { _ = server.Serve(ctx, l) }) // returns when ctx ends
		ended.Go(func() { _ = s.Run(ctx) })
		t.Cleanup(peers.Close)
		logs, supervisors = append(logs, m), append(supervisors, s)
	}
	t.Cleanup(func() { cancel(); ended.Wait() })
	return logs, supervisors
}

// Guards against claim stores whose disks are full for a while, one after another, and that
// stay closed, so that no work can be claimed any more although all processes run (issue 35).
func TestLogsFullOneAfterAnother(t *testing.T) {
	c := &cluster{t: t, peers: peer.NewClient("entry")}
	t.Cleanup(c.peers.Close)
	logs, supervisors := startSupervisedStores(t, c, 3)
	client := c.client("a")
	ctx := testContext(t)
	claimed := func() bool {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		h, _, err := client.Begin(attempt, "bookings", newKey())
		if err != nil {
			return false
		}
		h.Finish(answer("ok"))
		return true
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for !ok() {
			if ctx.Err() != nil {
				t.Fatalf("waiting until %s: %v", what, ctx.Err())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	for i := range logs {
		if supervisors[i].options.Founding {
			t.Errorf("store %d would take a folder that was lost for a new one", i)
		}
		until("work is claimed", claimed)
		first, _ := supervisors[i].current()
		logs[i].setFull(true)
		until("the store fails", func() bool {
			claimed()
			return first.journal.wait(first.journal.lastSynced()+1) != nil
		})
		until("the others claim work", claimed)
		logs[i].setFull(false)
		until("the store is open again", func() bool {
			service, _ := supervisors[i].current()
			return service != first && supervisors[i].Ready()
		})
	}
	until("work is claimed after all logs were full", claimed)
}
