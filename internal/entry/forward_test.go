package entry

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
)

func receipt(t testing.TB, body []byte) standin.Receipt {
	t.Helper()
	var r standin.Receipt
	if err := json.Unmarshal(body, &r); err != nil {
		t.Errorf("receipt %q: %v", body, err)
	}
	return r
}

func problem(t testing.TB, body []byte) problemFields {
	t.Helper()
	var p problemBody
	if err := json.Unmarshal(body, &p); err != nil {
		t.Errorf("problem %q: %v", body, err)
	}
	return p.Error
}

func TestForward(t *testing.T) {
	Convey("Given an entry host and a target", t, func() {
		target := startTarget(t, standin.Config{})
		h := startHost(t, []string{target.Address()})

		Convey("a request reaches the target with its path as it was sent", func() {
			got := h.do("GET", "/s/bookings/a%2Fb//c/../d;x?q=1&q=%20;", "", "")
			So(got.err, ShouldBeNil)
			So(got.status, ShouldEqual, 200)
			So(got.outcome, ShouldEqual, OutcomeDone)
			So(receipt(t, got.body).Query, ShouldEqual, "q=1&q=%20;")
			So(receipt(t, got.body).Path, ShouldEqual, "/a/b//c/../d;x")
		})

		Convey("a keyed request runs once and is replayed to a resend", func() {
			key := newKey()
			first := h.do("POST", "/s/bookings/rooms", key, "room 4")
			again := h.do("POST", "/s/bookings/rooms", key, "room 4")
			So(first.outcome, ShouldEqual, OutcomeDone)
			So(again.outcome, ShouldEqual, OutcomeReplayed)
			So(again.body, ShouldResemble, first.body)
			So(target.Stats().Runs[key], ShouldEqual, 1)
		})
	})
}
