package claim

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestMergeResultWithoutOwner guards against a panic of a store that joins and copies
// the result of an attempt that was released afterwards.
func TestMergeResultWithoutOwner(t *testing.T) {
	Convey("Given a record whose owner was released after it reported a result", t, func() {
		owner := Attempt{Host: "p", Counter: 3}
		empty := &Record{}
		source := empty.withOwner(owner).withResult(owner, Done, Encoded("answer")).withRelease(owner)
		So(source.Owners, ShouldBeEmpty)
		Convey("a merge takes its result, with or without votes of its own", func() {
			for _, own := range []*Record{empty, empty.withOwner(Attempt{Host: "q", Counter: 1})} {
				merged := own.merged(source)
				So(merged.Result, ShouldEqual, Done)
				So(string(merged.Answer), ShouldEqual, "answer")
				So(merged.released(owner), ShouldBeTrue)
			}
		})
	})
}
