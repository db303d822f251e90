package rollout

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// patience bounds waits of tests; it is not a measured time.
const patience = 20 * time.Second

// TestFanOut guards against hosts that the tree leaves out.
func TestFanOut(t *testing.T) {
	Convey("Given 24 entry hosts and one control host", t, func() {
		f := newFleet(t, example(t, "ireland.toml"))
		Convey("every host has and acknowledges each version, without pulls", func() {
			for range 3 {
				So(f.waitAcknowledged(f.accept(), patience), ShouldBeEmpty)
			}
			for _, h := range f.hosts {
				So(h.holder.Current().Root, ShouldEqual, f.last.Header.Root)
			}
		})
		Convey("children of stopped hosts are served in their place", func() {
			So(f.waitAcknowledged(f.accept(), patience), ShouldBeEmpty)
			f.hosts[0].stop() // positions 1 and 5 are parent and child
			f.hosts[4].stop()
			version := f.accept()
			So(f.waitAcknowledged(version, patience, f.hosts[0].name, f.hosts[4].name), ShouldBeEmpty)
			So(f.dist.Missing([]string{f.hosts[0].name, f.hosts[4].name}, version), ShouldHaveLength, 2)
		})
	})
}

// TestNewLeader guards against a version that was accepted by a leader which
// ended before it could offer it.
func TestNewLeader(t *testing.T) {
	Convey("A version accepted while this host does not lead is offered once it leads", t, func() {
		f := newFleet(t, example(t, "demo.toml"))
		f.leads.Store(false)
		version := f.accept()
		for _, h := range f.hosts {
			So(h.holder.Current(), ShouldBeNil)
		}
		f.leads.Store(true)
		So(f.waitAcknowledged(version, patience), ShouldBeEmpty)
	})
}

// TestLateReports guards against an acknowledgement that a late, older report takes back.
func TestLateReports(t *testing.T) {
	Convey("A report of an older version right after a newer one is not taken", t, func() {
		f := newFleet(t, example(t, "demo.toml"))
		name := f.hosts[0].name
		f.dist.note(Status{Host: name, Version: 7})
		f.dist.note(Status{Host: name, Version: 6})
		So(f.dist.Missing([]string{name}, 7), ShouldBeEmpty)
		So(f.dist.Missing([]string{name, "other"}, 7), ShouldResemble, []string{"other"})
		So(f.dist.Hosts()[name].Version, ShouldEqual, 7)
	})
}

// TestMissedVersions guards against a host that stays behind after hundreds of missed versions.
func TestMissedVersions(t *testing.T) {
	Convey("Given a fleet in which no offers are sent for 300 versions", t, func() {
		f := newFleet(t, example(t, "demo.toml"))
		So(f.waitAcknowledged(f.accept(), patience), ShouldBeEmpty)
		f.leads.Store(false)
		for range 299 {
			f.accept()
		}
		Convey("the next offer makes hosts fetch what they miss and pass it on", func() {
			f.leads.Store(true)
			So(f.waitAcknowledged(f.accept(), patience), ShouldBeEmpty)
		})
		Convey("a pull alone brings the newest version", func() {
			h := f.hosts[0]
			_, err := fetch(context.Background(), h.client, h.holder, f.control.Peer)
			So(err, ShouldBeNil)
			So(h.holder.Current().Version, ShouldEqual, 300)
		})
	})
}

// TestCutOffZone guards against a zone that serves an older version than one of its hosts knows.
func TestCutOffZone(t *testing.T) {
	Convey("Given a zone whose hosts know different versions and cannot reach control", t, func() {
		f := newFleet(t, example(t, "ireland.toml"))
		f.leads.Store(false)
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
		Convey("pulls bring all hosts of the zone to that version", func() {
			ctx, cancel := context.WithCancel(context.Background())
			for _, h := range zone {
				go h.puller.Run(ctx)
			}
			for _, h := range zone {
				waitVersion(h.holder, f.last.Header.Version)
			}
			cancel()
		})
		Convey("a host that reaches nobody does not start", func() {
			for _, h := range zone[1:] {
				h.stop()
			}
			So(zone[0].puller.Start(context.Background()), ShouldBeFalse)
		})
	})
}

func waitVersion(h *Holder, version uint64) {
	reached := make(chan struct{}, 1)
	h.Subscribe(func(a *ActiveVersion) {
		if a.Version == version {
			reached <- struct{}{}
		}
	})
	select {
	case <-reached:
	case <-time.After(patience):
		So(h.Current(), ShouldNotBeNil)
		So(h.Current().Version, ShouldEqual, version)
	}
}
