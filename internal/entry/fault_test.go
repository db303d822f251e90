package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// faultCase is one request to a host with a faulty target and, if spare is set,
// a second target without a fault.
type faultCase struct {
	name    string
	method  string
	keyed   bool
	fault   standin.Fault
	dead    bool // the first target does not listen
	spare   bool // there is a second target without a fault
	query   string
	timeout string

	status   int
	code     string
	outcome  string
	received int // number of requests that the first target received
	claim    string
	permits  []slots.Outcome
}

var faultCases = []faultCase{
	{name: "closed after the request was read, repeatable", method: "GET", fault: standin.Fault{Close: true}, spare: true,
		status: 200, outcome: OutcomeDone, received: 1, permits: []slots.Outcome{slots.OutcomeFailed, slots.OutcomeDone}},
	{name: "closed after the request was read, repeatable, no other target", method: "GET", fault: standin.Fault{Close: true},
		status: 503, code: CodeBusy, outcome: OutcomeUnknown, received: 1, permits: []slots.Outcome{slots.OutcomeFailed}},
	{name: "closed after the request was read, unkeyed", method: "POST", fault: standin.Fault{Close: true}, spare: true,
		status: 502, code: CodeTargetFailed, outcome: OutcomeUnknown, received: 1, permits: []slots.Outcome{slots.OutcomeFailed}},
	{name: "closed after the request was read, keyed", method: "POST", keyed: true, fault: standin.Fault{Close: true}, spare: true,
		status: 502, code: CodeTargetFailed, outcome: OutcomeUnknown, received: 1, claim: "unknown", permits: []slots.Outcome{slots.OutcomeFailed}},
	{name: "short response cut, repeatable", method: "GET", fault: standin.Fault{Cut: true}, spare: true,
		status: 502, code: CodeTargetFailed, outcome: OutcomeUnknown, received: 1, permits: []slots.Outcome{slots.OutcomeFailed}},
	{name: "short response cut, keyed", method: "POST", keyed: true, fault: standin.Fault{Cut: true}, spare: true,
		status: 502, code: CodeTargetFailed, outcome: OutcomeUnknown, received: 1, claim: "unknown", permits: []slots.Outcome{slots.OutcomeFailed}},
	{name: "late, unkeyed", method: "POST", fault: standin.Fault{LateMs: 60_000, IgnoreCancel: true}, timeout: "500", spare: true,
		status: 504, code: CodeDeadline, outcome: OutcomeUnknown, received: 1, permits: []slots.Outcome{slots.OutcomeAbandoned}},
	{name: "late, repeatable", method: "GET", fault: standin.Fault{LateMs: 60_000, IgnoreCancel: true}, timeout: "500", spare: true,
		status: 504, code: CodeDeadline, outcome: OutcomeUnknown, received: 1, permits: []slots.Outcome{slots.OutcomeAbandoned}},
	{name: "late, keyed", method: "POST", keyed: true, fault: standin.Fault{LateMs: 60_000, IgnoreCancel: true}, timeout: "500", spare: true,
		status: 504, code: CodeDeadline, outcome: OutcomeUnknown, received: 1, claim: "unknown", permits: []slots.Outcome{slots.OutcomeAbandoned}},
	{name: "shed, repeatable", method: "GET", fault: standin.Fault{Shed: true}, spare: true,
		status: 200, outcome: OutcomeDone, received: 1, permits: []slots.Outcome{slots.OutcomeShed, slots.OutcomeDone}},
	{name: "shed, unkeyed", method: "POST", fault: standin.Fault{Shed: true}, spare: true,
		status: 503, code: CodeShed, outcome: OutcomeNotRun, received: 1, permits: []slots.Outcome{slots.OutcomeShed}},
	{name: "shed, keyed", method: "POST", keyed: true, fault: standin.Fault{Shed: true}, spare: true,
		status: 503, code: CodeShed, outcome: OutcomeNotRun, received: 1, claim: "released", permits: []slots.Outcome{slots.OutcomeShed}},
	{name: "work fails, keyed", method: "POST", keyed: true, fault: standin.Fault{FailWork: true}, spare: true,
		status: 500, outcome: OutcomeDone, received: 1, claim: "done", permits: []slots.Outcome{slots.OutcomeFailed}},
	{name: "target does not listen, unkeyed", method: "POST", dead: true, spare: true,
		status: 200, outcome: OutcomeDone, permits: []slots.Outcome{slots.OutcomeUnreachable, slots.OutcomeDone}},
	{name: "target does not listen, keyed", method: "POST", keyed: true, dead: true, spare: true,
		status: 200, outcome: OutcomeDone, claim: "done", permits: []slots.Outcome{slots.OutcomeUnreachable, slots.OutcomeDone}},
	{name: "target does not listen, keyed, no other target", method: "POST", keyed: true, dead: true,
		status: 503, code: CodeBusy, outcome: OutcomeNotRun, claim: "released", permits: []slots.Outcome{slots.OutcomeUnreachable}},
}

// Guards against bookings that run twice, "not run" for a booking that ran, and
// slots that stay taken at an idle target.
func TestTargetFaults(t *testing.T) {
	for _, c := range faultCases {
		Convey(c.name, t, func() {
			first := startTarget(t, standin.Config{Fault: c.fault})
			targets := []string{first.Address()}
			if c.dead {
				first.Kill()
			}
			if c.spare {
				targets = append(targets, startTarget(t, standin.Config{}).Address())
			}
			h := startHost(t, targets)
			key, headers := "", []string{}
			if c.keyed {
				key = newKey()
			}
			if c.timeout != "" {
				headers = []string{HeaderTimeout, c.timeout}
			}
			got := h.do(c.method, "/s/bookings/rooms?"+c.query, key, "", headers...)
			So(got.err, ShouldBeNil)
			So(got.status, ShouldEqual, c.status)
			So(got.outcome, ShouldEqual, c.outcome)
			if c.code != "" {
				So(problem(t, got.body).Code, ShouldEqual, c.code)
				So(problem(t, got.body).Outcome, ShouldEqual, c.outcome)
			}
			So(h.freed(len(c.permits)), ShouldResemble, c.permits)
			So(first.Stats().Received, ShouldEqual, c.received)
			So(h.claims.of(key), ShouldEqual, c.claim)
		})
	}
}
