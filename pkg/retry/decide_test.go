package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against decisions that run a booking twice, or report one as not run that
// may have run.
func TestDecide(t *testing.T) {
	late := start.Add(time.Minute)
	cases := []struct {
		name      string
		a         Attempt
		spent     bool // the budget is used up
		reason    Reason
		execution Execution
	}{
		{"repeatable, broken after it was sent", Attempt{Method: "GET", Outcome: Broken, Sent: true}, false, ReasonAllowed, Unknown},
		{"not repeatable, broken after it was sent", Attempt{Method: "POST", Outcome: Broken, Sent: true}, false, ReasonSent, Unknown},
		{"not repeatable, connection refused", Attempt{Method: "POST", Outcome: Unreached}, false, ReasonAllowed, NotRun},
		{"not repeatable, permit void", Attempt{Method: "POST", Outcome: Void}, false, ReasonAllowed, NotRun},
		{"not repeatable, broken before a byte was sent", Attempt{Method: "POST", Outcome: Broken}, false, ReasonAllowed, NotRun},
		{"body partly read, nothing sent", Attempt{Method: "POST", Outcome: Broken, BodyRead: true}, false, ReasonBody, NotRun},
		{"repeatable, body partly sent", Attempt{Method: "PUT", Outcome: Broken, Sent: true, BodyRead: true}, false, ReasonBody, Unknown},
		{"repeatable, shed", Attempt{Method: "GET", Outcome: Shed, Sent: true}, false, ReasonAllowed, NotRun},
		{"not repeatable, shed", Attempt{Method: "POST", Outcome: Shed, Sent: true}, false, ReasonSent, NotRun},
		{"timed out after it was sent", Attempt{Method: "GET", Outcome: TimedOut, Sent: true}, false, ReasonDeadline, Unknown},
		{"timed out before a byte was sent", Attempt{Method: "POST", Outcome: TimedOut}, false, ReasonDeadline, NotRun},
		{"caller gone", Attempt{Method: "GET", Outcome: CallerGone, Sent: true}, false, ReasonCallerGone, Unknown},
		{"answered", Attempt{Method: "GET", Outcome: Answered, Sent: true}, false, ReasonAnswered, Unknown},
		{"budget used up", Attempt{Method: "GET", Outcome: Broken, Sent: true}, true, ReasonBudget, Unknown},
		{"deadline reached", Attempt{Method: "GET", Outcome: Broken, Sent: true, Now: late}, false, ReasonDeadline, Unknown},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			b := NewBudget(DefaultLimits)
			if c.spent {
				b = NewBudget(Limits{})
			}
			c.a.RepeatableMethods, c.a.Deadline = []string{"GET", "PUT"}, late
			if c.a.Now.IsZero() {
				c.a.Now = start
			}
			d := Decide(c.a, b)
			So(d.Reason.String(), ShouldEqual, c.reason.String())
			So(d.Execution, ShouldEqual, c.execution)
			So(d.Repeat, ShouldEqual, c.reason == ReasonAllowed)
		})
	}
}

// Guards, for any attempt, against repeating a sent request that is not repeatable
// and against reporting one as not run that was sent and not shed.
func TestDecideNeverRepeatsSentWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Method:            rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method"),
			RepeatableMethods: rapid.SliceOf(rapid.SampledFrom([]string{"GET", "PUT"})).Draw(t, "repeatable"),
			Outcome:           Outcome(rapid.IntRange(0, int(CallerGone)).Draw(t, "outcome")),
			Sent:              rapid.Bool().Draw(t, "sent"),
			BodyRead:          rapid.Bool().Draw(t, "read"),
			Now:               start,
			Deadline:          start.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "left"))),
		}
		d := Decide(a, NewBudget(DefaultLimits))
		if d.Repeat && a.Sent && !Repeatable(a.Method, a.RepeatableMethods) {
			t.Fatal("a sent request that is not repeatable is repeated")
		}
		if d.Repeat && (a.BodyRead || a.Outcome == Answered || !a.Now.Before(a.Deadline)) {
			t.Fatal("repeated after the body was read, after an answer or after the deadline")
		}
		if d.Execution == NotRun && a.Sent && a.Outcome != Shed {
			t.Fatal("a request that was sent and not shed is reported as not run")
		}
	})
}

// Guards against retries beyond the budget, which multiply the load on targets that
// are already failing.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.1, Minimum: float64(rapid.IntRange(0, 3).Draw(t, "minimum"))}
		b, now := NewBudget(limits), start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
			} else if b.Take(now) {
				retries = append(retries, now)
				allowed := 0.1*float64(recent(requests, now)) + limits.Minimum*Window.Seconds()
				if got := float64(recent(retries, now)); got > allowed {
					t.Fatalf("%v retries, %v allowed", got, allowed)
				}
			}
		}
	})
}

// recent counts the times that lie in the window at now.
func recent(times []time.Time, now time.Time) int {
	n := 0
	for _, at := range times {
		if now.Unix()-at.Unix() < int64(Window/time.Second) {
			n++
		}
	}
	return n
}

func TestBudgetRecovers(t *testing.T) {
	Convey("a budget that is used up allows retries again after the window", t, func() {
		b := NewBudget(Limits{Ratio: 0.1})
		for range 10 {
			b.Request(start)
		}
		So(b.Take(start), ShouldBeTrue)
		So(b.Take(start), ShouldBeFalse)
		later := start.Add(Window)
		So(b.Take(later), ShouldBeFalse) // the requests have left the window
		for range 10 {
			b.Request(later)
		}
		So(b.Take(later), ShouldBeTrue)
	})
}
