package replica

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal/memfs"
)

// TestJournal guards against state that is lost in a restart: votes, replaced
// entries, and entries after a snapshot.
func TestJournal(t *testing.T) {
	Convey("Given a journal with a vote and four entries, the last two replaced", t, func() {
		o := wal.Options{Folder: "data", Host: "a", Files: memfs.New()}
		j, p, _, err := openJournal(o)
		So(err, ShouldBeNil)
		Reset(func() { So(j.log.Close(), ShouldBeNil) })
		So(p, ShouldResemble, &persisted{})
		entry := func(index, term uint64) agree.Entry {
			return agree.Entry{Index: index, Term: term, Kind: agree.EntryEmpty}
		}
		state := agree.HardState{Term: 3, Vote: agree.ID{Name: "b", Incarnation: "1"}}
		old := []agree.Entry{entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)}
		So(j.save(&agree.Output{Entries: old}), ShouldBeNil)
		So(j.save(&agree.Output{State: &state, Entries: []agree.Entry{entry(3, 3)}}), ShouldBeNil)
		So(j.save(&agree.Output{}), ShouldBeNil)
		reopen := func() *persisted {
			So(j.log.Close(), ShouldBeNil)
			j, p, _, err = openJournal(o)
			So(err, ShouldBeNil)
			return p
		}
		all := []agree.Entry{entry(1, 1), entry(2, 1), entry(3, 3)}
		Convey("a restart finds the vote and the newest entries", func() {
			So(reopen(), ShouldResemble, &persisted{State: state, Entries: all})
		})
		Convey("a compacted journal keeps the entries after the snapshot, and those saved meanwhile", func() {
			n := agree.New(agree.Options{State: state, Entries: all, Random: func(int64) int64 { return 0 }}, 0)
			s := agree.Snapshot{Index: 2, Term: 1, Data: []byte("x")}
			kept, entries := n.StateAfter(s)
			at := j.last
			So(j.save(&agree.Output{Entries: []agree.Entry{entry(4, 3)}}), ShouldBeNil)
			So(j.compact(at, &persisted{State: kept, Snapshot: s, Entries: entries}), ShouldBeNil)
			So(reopen(), ShouldResemble, &persisted{State: state, Snapshot: s, Entries: []agree.Entry{entry(3, 3), entry(4, 3)}})
		})
		Convey("a received snapshot replaces the entries", func() {
			s := agree.Snapshot{Index: 9, Term: 4}
			So(j.save(&agree.Output{Install: &s, Entries: []agree.Entry{entry(10, 4)}}), ShouldBeNil)
			So(reopen(), ShouldResemble, &persisted{State: state, Snapshot: s, Entries: []agree.Entry{entry(10, 4)}})
		})
	})
}
