package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/hornbeamstack/hornbeamstack/pkg/wal/memfs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// useMemoryDisks gives all hosts simulated disks in memory.
func (c *cluster) useMemoryDisks() map[string]*memfs.Disk {
	disks := map[string]*memfs.Disk{}
	for name := range c.hosts {
		disks[name] = memfs.New()
		c.files[name] = disks[name]
	}
	return disks
}

// TestFullDisk guards against commands reported as accepted that could not be
// written to the disk.
func TestFullDisk(t *testing.T) {
	Convey("Given three hosts and a leader whose disk is full", t, func() {
		c := newCluster(t, "a", "b", "c")
		ctx := testContext(t)
		disks := c.useMemoryDisks()
		c.startAll()
		c.propose(ctx, "one")
		old := c.leader()
		disks[old.name].Fail(memfs.OpWrite, syscall.ENOSPC)
		_, err := old.group.Propose(ctx, []byte("two"))
		var unknown *UnknownResultError
		So(errors.As(err, &unknown), ShouldBeTrue)
		Convey("it stops and reports the cause, and the others elect a new leader", func() {
			c.waitFor(ctx, "leader stops", func() bool { return !old.group.Status().IsLeader })
			So(errors.Is(old.group.Status().Err, syscall.ENOSPC), ShouldBeTrue)
			_, err := old.group.Propose(ctx, []byte("x"))
			So(errors.Is(err, ErrStopped), ShouldBeTrue)
			So(errors.Is(old.group.Read(ctx), ErrStopped), ShouldBeTrue)
			c.propose(ctx, "three")
			Convey("and it catches up after a restart with free space", func() {
				c.stop(old.name)
				disks[old.name].Kill()
				c.start(old.name)
				So(old.group.Read(ctx), ShouldBeNil)
				So(old.machine.list(), ShouldContain, "three")
			})
		})
	})
}

// TestCrashes guards against acknowledged commands that are lost or applied twice
// when hosts crash at any disk operation.
func TestCrashes(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	ctx := testContext(t)
	disks := c.useMemoryDisks()
	c.startAll()
	random := rand.New(rand.NewPCG(20261204, 0))
	// Bootstrapping needs all hosts, so the crashes start afterwards.
	acknowledged := []string{"one"}
	c.propose(ctx, "one")
	for i := range 12 {
		name := c.members[random.IntN(3)].Name
		disks[name].CrashIn(random.IntN(6))
		for j := range 5 {
			command := fmt.Sprintf("%d.%d", i, j)
			if c.tryPropose(ctx, command) {
				acknowledged = append(acknowledged, command)
			}
		}
		c.stop(name)
		disks[name].Restart(random.IntN)
		c.start(name)
	}
	if len(acknowledged) < 30 {
		t.Fatalf("only %d of 60 commands were accepted", len(acknowledged))
	}
	for _, h := range c.hosts {
		if err := h.group.Read(ctx); err != nil {
			t.Fatal(err)
		}
		seen, list := map[string]int{}, h.machine.list()
		for _, command := range list {
			seen[command]++
		}
		for _, command := range acknowledged {
			if seen[command] != 1 {
				t.Errorf("host %s applied command %s %d times, want once", h.name, command, seen[command])
			}
		}
		if len(seen) != len(list) {
			t.Errorf("host %s applied commands repeatedly: %v", h.name, list)
		}
	}
}

// tryPropose sends a command until it is accepted or its result is unknown. It
// reports whether it was accepted.
func (c *cluster) tryPropose(ctx context.Context, command string) bool {
	for ctx.Err() == nil {
		if h := c.leader(); h != nil {
			_, err := h.group.Propose(ctx, []byte(command))
			var unknown *UnknownResultError
			if err == nil || errors.As(err, &unknown) {
				return err == nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// TestFounding guards against a second group that is bootstrapped next to an
// existing one, by hosts that are empty or lost their disks.
func TestFounding(t *testing.T) {
	Convey("Given three listed members", t, func() {
		c := newCluster(t, "a", "b", "c")
		ctx := testContext(t)
		c.useMemoryDisks() // with slow syncs the leader might step down during the test
		Convey("no group is bootstrapped while one of them does not answer", func() {
			// Host a, which bootstraps, starts last: its call below may share a
			// connection attempt that its own loop made before b listened.
			c.start("b")
			c.start("a")
			err := c.hosts["a"].group.bootstrap()
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "member c does not answer")
			c.start("c")
			So(c.propose(ctx, "one"), ShouldEqual, "1:one")
			Convey("and none by empty hosts while another host holds log entries", func() {
				// The command is accepted once two hosts hold it, so c may be empty.
				c.waitFor(ctx, "c holds log entries or a snapshot", c.hosts["c"].group.hasHistory)
				for _, name := range []string{"a", "b"} {
					c.stop(name)
					c.files[name] = memfs.New()
				}
				c.start("b")
				c.start("a")
				err := c.hosts["a"].group.bootstrap()
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, "member c already holds log entries or a snapshot")
				So(c.leader(), ShouldBeNil)
			})
		})
	})
}

// TestSnapshots guards against a log that grows without bound, and against a
// replaced host that cannot catch up because the entries it lacks were compacted.
func TestSnapshots(t *testing.T) {
	Convey("Given a log longer than the snapshot interval", t, func() {
		c := newCluster(t, "a", "b", "c")
		ctx := testContext(t)
		c.useMemoryDisks() // the number of syncs matters here, not their duration
		c.startAll()
		for i := range snapshotEntries + 300 {
			c.propose(ctx, fmt.Sprint(i))
		}
		lost := "b"
		if c.leader().name == lost {
			lost = "c"
		}
		c.stop(lost)
		c.files[lost] = memfs.New()
		c.start(lost)
		l := c.leader()
		So(l.group.Replace(ctx, c.members[slices.IndexFunc(c.members, func(m Member) bool { return m.Name == lost })]), ShouldBeNil)
		So(c.hosts[lost].group.Read(ctx), ShouldBeNil)
		So(len(c.hosts[lost].machine.list()), ShouldEqual, snapshotEntries+300)
		Convey("all hosts restart from their snapshots", func() {
			for _, m := range c.members {
				c.stop(m.Name)
			}
			c.startAll()
			c.propose(ctx, "end")
			So(c.hosts[lost].group.Read(ctx), ShouldBeNil)
			So(len(c.hosts[lost].machine.list()), ShouldEqual, snapshotEntries+301)
		})
	})
}

// TestSilentHost guards against a group that is blocked by a host which accepts
// connections but never answers.
func TestSilentHost(t *testing.T) {
	Convey("Given a group whose former leader's address accepts connections but never answers", t, func() {
		c := newCluster(t, "a", "b", "c")
		ctx := testContext(t)
		c.startAll()
		c.propose(ctx, "one")
		old := c.leader().name
		c.stop(old)
		i := slices.IndexFunc(c.members, func(m Member) bool { return m.Name == old })
		l, err := net.Listen("tcp", c.members[i].Peer) // connections are accepted by the kernel but not served
		So(err, ShouldBeNil)
		Reset(func() { _ = l.Close() })
		So(c.propose(ctx, "two"), ShouldEqual, "2:two")
		for _, h := range c.hosts {
			if h.group != nil {
				So(h.group.Read(ctx), ShouldBeNil)
			}
		}
	})
}
