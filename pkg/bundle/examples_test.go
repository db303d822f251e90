package bundle

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestExamples guards against example files with findings and against snapshots
// that lose content.
func TestExamples(t *testing.T) {
	for _, file := range []string{"ireland.toml", "srilanka.toml", "demo.toml"} {
		Convey("The example "+file+" has no findings and is equal after a snapshot", t, func() {
			text, err := os.ReadFile("../../examples/" + file)
			So(err, ShouldBeNil)
			b, found := Parse(file, text)
			So(found.Error(), ShouldBeEmpty)
			data, err := EncodeSnapshot(b)
			So(err, ShouldBeNil)
			again, err := DecodeSnapshot(data)
			So(err, ShouldBeNil)
			So(again.Root(), ShouldEqual, b.Root())
			So(again, ShouldResemble, b)
		})
	}
}
