package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

// cutWatch simulates the watchers of an entry host while the control hosts near it are cut
// off from the majority.
type cutWatch struct {
	*watch
	now     time.Duration
	answer  time.Duration // how long a control host without contact takes to answer
	pulling [watchers]*controlState
	until   [watchers]time.Duration // end of the pull in flight
	stale   int                     // answers without contact
	outage  bool                    // no control host is in contact
}

const cutStep = 5 * time.Millisecond

// newCutWatch returns a watch that knows three control hosts in its region and one in
// another region, all without contact, and five further ones in contact.
func newCutWatch(t *testing.T, answer time.Duration) *cutWatch {
	s := &cutWatch{now: time.Minute, answer: answer}
	s.watch = newTestWatch(t, &s.now)
	for i := range 9 {
		c := fleet.Control{Peer: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprint("z", i), Region: "other"}
		if i < 3 {
			c.Region = "r"
		}
		s.controls[c.Peer] = &controlState{control: c}
	}
	s.lastFresh = s.now
	return s
}

func (s *cutWatch) inContact(c *controlState) bool {
	return !s.outage && c.control.Peer >= "10.0.0.4:1"
}

// run advances the time and returns the longest time without an answer of a control host in
// contact.
func (s *cutWatch) run(length time.Duration) (longest time.Duration) {
	for end := s.now + length; s.now < end; s.now += cutStep {
		for i := range s.pulling {
			s.step(i)
		}
		longest = max(longest, s.age())
	}
	return longest
}

// step lets one watcher act as watchOne does.
func (s *cutWatch) step(i int) {
	c := s.pulling[i]
	if c == nil {
		if c = s.pick(watcherRole(i)); c == nil {
			return
		}
		s.pulling[i], s.until[i] = c, s.now+s.answer
		if s.inContact(c) {
			s.until[i] = s.now + pullWait
		}
	}
	if s.now < s.until[i] {
		return
	}
	s.apply(c, &fleet.PullReply{Fresh: s.inContact(c)})
	if !s.inContact(c) {
		s.stale++
		s.noContact(c)
	}
	if !s.inContact(c) || s.nearer(c) {
		s.release(c)
		s.pulling[i] = nil
		return
	}
	s.until[i] = s.now + pullWait
}

// Guards against an entry host that keeps asking the control hosts near it, which are cut
// off from the majority, and never turns to those that are in contact
// (riagain-ceili-large, trouble-3).
func TestWatchReachesTheMajority(t *testing.T) {
	for _, x := range []struct{ answer, limit time.Duration }{
		{25 * time.Millisecond, contactLimit},
		// Once contact is lost, one watcher asks each of the four hosts without contact
		// at most once more before it reaches another.
		{pullWait, contactLimit + 5*pullWait + pullWait},
		{time.Second, contactLimit + 5*time.Second + pullWait},
	} {
		s := newCutWatch(t, x.answer)
		if got := s.run(20 * time.Second); got > x.limit {
			t.Errorf("answers without contact take %v: no contact for %v, want %v at most", x.answer, got, x.limit)
		}
	}
}

// Guards against watchers that leave a control host in contact again and again, to ask
// nearer ones that have none.
func TestHostsWithoutContactAreAskedRarely(t *testing.T) {
	s := newCutWatch(t, 25*time.Millisecond)
	s.run(30 * time.Second)
	if s.stale > 60 {
		t.Errorf("control hosts without contact were asked %d times in 30 s, want each of the four at most once in 3 s, and a few times more at first", s.stale)
	}
}

// Guards against near control hosts that stay set aside after an outage of all of them, so
// that their relays are not used.
func TestNearHostsAreAskedSoonAfterAnOutage(t *testing.T) {
	for outage := 5 * time.Second; outage < 8*time.Second; outage += 50 * time.Millisecond {
		s := newCutWatch(t, 25*time.Millisecond)
		near := s.controls["10.0.0.4:1"]
		near.control.Region = "r"
		s.outage = true
		s.run(outage)
		s.outage = false
		s.run(2 * (refusedBackoff + pullWait))
		if !near.watched {
			t.Errorf("outage of %v: the near control host that is in contact again is not watched", outage)
		}
	}
}
