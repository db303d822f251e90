package rollout

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// testTimeout bounds the waits of tests. It says nothing about expected durations.
const testTimeout = 20 * time.Second

// TestFanOut guards against entry hosts that receive no offer, also if their parents
// in the tree are down.
func TestFanOut(t *testing.T) {
	Convey("Given 24 entry hosts and one control host", t, func() {
		f := newFleet(t, example(t, "ireland.toml"))
		Convey("every host puts each version in force and acknowledges it, without pulls", func() {
			for range 3 {
				So(f.waitAcknowledged(f.accept(), testTimeout), ShouldBeEmpty)
			}
			for _, h := range f.hosts {
				So(h.holder.Current().Root, ShouldEqual, f.last.Header.Root)
			}
		})
		Convey("children of stopped hosts get the offer from the next host up the tree", func() {
			So(f.waitAcknowledged(f.accept(), testTimeout), ShouldBeEmpty)
			f.hosts[0].stop() // hosts[0] and hosts[4] are at positions 1 and 5, parent and child
			f.hosts[4].stop()
			version := f.accept()
			So(f.waitAcknowledged(version, testTimeout, f.hosts[0].name, f.hosts[4].name), ShouldBeEmpty)
			So(f.dist.Missing([]string{f.hosts[0].name, f.hosts[4].name}, version), ShouldHaveLength, 2)
		})
	})
}

// TestNewLeader guards against a version that is never offered because the leader
// that accepted it failed before offering it.
func TestNewLeader(t *testing.T) {
	Convey("A version accepted while this host does not lead is offered once it leads", t, func() {
		f := newFleet(t, example(t, "demo.toml"))
		f.isLeader.Store(false)
		version := f.accept()
		for _, h := range f.hosts {
			So(h.holder.Current(), ShouldBeNil)
		}
		f.isLeader.Store(true)
		So(f.waitAcknowledged(version, testTimeout), ShouldBeEmpty)
	})
}

// TestLateReports guards against a delayed report of an older version that undoes
// the acknowledgement of a newer one.
func TestLateReports(t *testing.T) {
	Convey("A report of an older version right after a newer one is ignored", t, func() {
		f := newFleet(t, example(t, "demo.toml"))
		name := f.hosts[0].name
		f.dist.recordStatus(Status{Host: name, Version: 7})
		f.dist.recordStatus(Status{Host: name, Version: 6})
		So(f.dist.Missing([]string{name}, 7), ShouldBeEmpty)
		So(f.dist.Missing([]string{name, "other"}, 7), ShouldResemble, []string{"other"})
		So(f.dist.Hosts()[name].Version, ShouldEqual, 7)
	})
}

// TestMissedVersions guards against a host that cannot catch up after missing
// hundreds of versions.
func TestMissedVersions(t *testing.T) {
	Convey("Given a fleet in which no offers are sent for 300 versions", t, func() {
		f := newFleet(t, example(t, "demo.toml"))
		So(f.waitAcknowledged(f.accept(), testTimeout), ShouldBeEmpty)
		f.isLeader.Store(false)
		for range 299 {
			f.accept()
		}
		Convey("the next offer makes hosts fetch the missing versions and forward the offer", func() {
			f.isLeader.Store(true)
			So(f.waitAcknowledged(f.accept(), testTimeout), ShouldBeEmpty)
		})
		Convey("a pull alone fetches the newest version", func() {
			h := f.hosts[0]
			_, err := fetch(context.Background(), h.client, h.holder, f.control.Peer)
			So(err, ShouldBeNil)
			So(h.holder.Current().Version, ShouldEqual, 300)
		})
	})
}

// TestCutOffZone guards against a partitioned zone in which a host serves an older
// version than another host of the zone has.
func TestCutOffZone(t *testing.T) {
	Convey("Given a zone whose hosts have different versions and cannot reach control hosts", t, func() {
		f := newFleet(t, example(t, "ireland.toml"))
		f.isLeader.Store(false)
		zone := f.hosts[:4]
		for i, h := range zone[1:] {
			f.accept()
			if i == 1 {
				f.accept()
			}
			_, err := fetch(context.Background(), h.client, h.holder, f.control.Peer)
			So(err, ShouldBeNil)
		}
		for _, h := range zone {
			h.puller.ControlHosts[0].Peer = "127.0.0.1:1" // refuses connections
		}
		Convey("a restarted host starts with the newest version known in the zone", func() {
			So(zone[0].puller.Start(context.Background()), ShouldBeTrue)
			So(zone[0].holder.Current().Version, ShouldEqual, f.last.Header.Version)
		})
		Convey("all hosts of the zone reach that version by pulls", func() {
			ctx, cancel := context.WithCancel(context.Background())
			for _, h := range zone {
				go h.puller.Run(ctx)
			}
			for _, h := range zone {
				waitVersion(h.holder, f.last.Header.Version)
			}
			cancel()
		})
		Convey("a host that can reach no peer does not start", func() {
			for _, h := range zone[1:] {
				h.stop()
			}
			So(zone[0].puller.Start(context.Background()), ShouldBeFalse)
		})
	})
}

// waitVersion waits until h has the version in force, and fails after testTimeout.
func waitVersion(h *Holder, version uint64) {
	reached := make(chan struct{}, 1)
	h.Subscribe(func(a *ActiveVersion) {
		if a.Version == version {
			reached <- struct{}{}
		}
	})
	select {
	case <-reached:
	case <-time.After(testTimeout):
		So(h.Current(), ShouldNotBeNil)
		So(h.Current().Version, ShouldEqual, version)
	}
}
