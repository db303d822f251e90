package claim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// requestVotes delivers vote requests of an attempt; the replies stay in flight.
func (w *simulation) requestVotes(a *simAttempt, stores ...int) {
	for _, i := range stores {
		w.vote(a, i)
		w.stores[i].sync()
	}
}

// deliverReplies delivers all replies of an attempt.
func (w *simulation) deliverReplies(a *simAttempt) Decision {
	for _, r := range a.replies {
		w.reply(a, r)
	}
	return a.p.Decision()
}

// putBack starts a store with the folder it had before the last format.
func (s *simStore) putBack() {
	s.disk = s.old[len(s.old)-1]
	s.boot()
}

// TestScenarios covers faults that random histories produce too rarely.
func TestScenarios(t *testing.T) {
	Convey("Given three stores that were founded together", t, func() {
		w := newSimulation(3)
		s0, s1 := w.stores[0], w.stores[1]
		a, b := w.begin("a", 1), w.begin("b", 1)
		Reset(func() { So(w.violation, ShouldEqual, "") })
		for _, s := range w.stores {
			So(s.live.Gate.Ready(), ShouldBeTrue)
		}

		Convey("a grant from a lost disk does not count towards a majority with later grants", func() {
			w.requestVotes(a, 0)
			s0.format()
			w.rejoin(s0, nil)
			w.requestVotes(b, 0, 1)
			So(w.deliverReplies(b), ShouldEqual, MaySend)
			w.requestVotes(a, 2)
			So(w.deliverReplies(a), ShouldEqual, Waiting)
		})
		Convey("a grant that was not synced before a crash is never seen", func() {
			w.vote(a, 0)
			s0.boot()
			So(a.replies, ShouldBeEmpty)
			w.requestVotes(b, 0, 1)
			So(w.deliverReplies(b), ShouldEqual, MaySend)
		})
		Convey("a release affects only the attempt that it names", func() {
			w.requestVotes(a, 0, 1)
			s0.write(s0.live.Release(w.now, ReleaseRequest{Key: w.key, Attempt: b.Attempt}), nil)
			c := w.begin("c", 1)
			w.requestVotes(c, 0)
			So(c.replies[0].Verdict, ShouldEqual, Held)
		})
		Convey("a vote request that arrives after its release is refused, also by a store that copied", func() {
			s0.write(s0.live.Release(w.now, ReleaseRequest{Key: w.key, Attempt: a.Attempt}), nil)
			s0.sync()
			s1.format()
			w.rejoin(s1, nil)
			w.requestVotes(a, 0, 1)
			So(a.replies[0].Verdict, ShouldEqual, WasReleased)
			So(a.replies[1].Verdict, ShouldEqual, WasReleased)
		})
		// Guards against a delayed earlier send that runs after the caller was told "not run".
		Convey("after a release with hold-down no attempt gets a vote until it ends, also from a copy", func() {
			w.requestVotes(a, 0, 1)
			for _, s := range []*simStore{s0, s1} {
				s.write(s.live.Release(w.now, ReleaseRequest{Key: w.key, Attempt: a.Attempt, HoldDown: true}), nil)
				s.sync()
			}
			w.requestVotes(b, 0, 1)
			So(b.replies[0].Verdict, ShouldEqual, HeldDown)
			So(w.deliverReplies(b), ShouldEqual, KeyHeldDown)
			s1.format()
			w.rejoin(s1, nil)
			c := w.begin("c", 1)
			w.requestVotes(c, 1)
			So(c.replies[0].Verdict, ShouldEqual, HeldDown)
			w.now = w.now.Add(HoldDown)
			d := w.begin("d", 1)
			w.requestVotes(d, 0, 1)
			So(w.deliverReplies(d), ShouldEqual, MaySend)
		})
		Convey("a hold-down at a minority of stores does not prove that nothing ran", func() {
			w.requestVotes(a, 0, 1)
			s0.write(s0.live.Release(w.now, ReleaseRequest{Key: w.key, Attempt: a.Attempt, HoldDown: true}), nil)
			w.requestVotes(b, 0)
			b.p.Fail(w.stores[1].name)
			b.p.Fail(w.stores[2].name)
			So(b.p.Decision(), ShouldEqual, NotRun)
		})
		Convey("a store that copied two owners grants neither of them until the other is released", func() {
			w.requestVotes(a, 1)
			w.requestVotes(b, 2)
			s0.format()
			w.rejoin(s0, nil)
			w.requestVotes(a, 0)
			w.requestVotes(b, 0)
			So(a.replies[1].Verdict, ShouldEqual, Held)
			So(b.replies[1].Verdict, ShouldEqual, Held)
			s0.write(s0.live.Release(w.now, ReleaseRequest{Key: w.key, Attempt: a.Attempt}), nil)
			w.requestVotes(b, 0)
			So(b.replies[2].Verdict, ShouldEqual, Granted)
		})
		Convey("a folder that is put back after it was replaced stops voting", func() {
			s0.format()
			w.rejoin(s0, nil)
			s0.putBack()
			s0.join(s1, false)
			w.requestVotes(a, 0)
			So(a.replies[0].Verdict, ShouldEqual, NotReady)
		})
		Convey("copies of a folder that was put back do not count", func() {
			s0.format()
			w.rejoin(s0, nil)
			w.requestVotes(a, 0, 1)
			So(w.deliverReplies(a), ShouldEqual, MaySend)
			s0.putBack()
			s1.format()
			w.rejoin(s1, nil)
			So(s1.live.Gate.Ready(), ShouldBeFalse)
			w.requestVotes(b, 1)
			So(b.replies[0].Verdict, ShouldEqual, NotReady)
		})
		Convey("a folder that was not ready when it was put back does not vote for keys created meanwhile", func() {
			s0.format()
			s0.format()
			w.rejoin(s0, nil)
			w.now = w.now.Add(4 * MaxClockSkew)
			w.key = keyAt(w.now)
			w.requestVotes(a, 0, 1)
			So(w.deliverReplies(a), ShouldEqual, MaySend)
			s0.putBack()
			w.requestVotes(b, 0)
			So(b.replies[0].Verdict, ShouldEqual, NotReady)
		})
		Convey("stores that all lost their disks vote only for keys created after twice the maximum clock skew", func() {
			for _, s := range w.stores {
				s.format()
			}
			w.requestVotes(a, 0, 1, 2)
			So(w.deliverReplies(a), ShouldEqual, NotRun)
			w.now = w.now.Add(2 * MaxClockSkew)
			w.key = keyAt(w.now)
			w.requestVotes(b, 0, 1)
			So(w.deliverReplies(b), ShouldEqual, MaySend)
		})
		Convey("a resend after the lifetime of the key is answered as expired", func() {
			w.requestVotes(a, 0, 1, 2)
			w.run(a)
			w.finish(a)
			w.now = w.now.Add(Lifetime + 3*MaxClockSkew)
			for _, s := range w.stores {
				s.forget()
				So(s.live.Register.Len(), ShouldEqual, 0)
			}
			w.requestVotes(b, 0, 1, 2)
			So(w.deliverReplies(b), ShouldEqual, Expired)
		})
	})
}

// TestKeys guards against keys whose age cannot be determined.
func TestKeys(t *testing.T) {
	Convey("Only the plain text form of a UUIDv7 is a key", t, func() {
		for _, text := range []string{
			"", "x", "0190163d-8694-739b-aea5-966c26f8ad9",
			"{0190163d-8694-739b-aea5-966c26f8ad91}", "urn:uuid:0190163d-8694-739b-aea5-966c26f8ad91",
			"0190163d-8694-439b-aea5-966c26f8ad91", // version 4
			"0190163d-8694-739b-cea5-966c26f8ad91", // other variant
			"0190163d86947-39baea5966c26f8ad91----",
		} {
			_, err := ParseKey("bookings", text)
			So(err, ShouldWrap, ErrKey)
		}
		k, err := ParseKey("bookings", "0190163d-8694-739b-aea5-966c26f8ad91")
		So(err, ShouldBeNil)
		So(k.Time().UnixMilli(), ShouldEqual, 0x0190163d8694)
	})
}
