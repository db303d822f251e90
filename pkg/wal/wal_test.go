package wal_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal/memfs"
)

func options(d *memfs.Disk) wal.Options {
	return wal.Options{Folder: "data", Host: "h", Kind: "agree", SegmentBytes: 200, Files: d}
}

func open(d *memfs.Disk) (*wal.Log, *wal.Recovered) {
	l, found, err := wal.Open(options(d))
	So(err, ShouldBeNil)
	return l, found
}

func record(i int) wal.Record {
	return wal.Record{Index: uint64(i), Data: fmt.Appendf(nil, "record %d", i)}
}

func records(from, to int) []wal.Record {
	var rs []wal.Record
	for i := from; i <= to; i++ {
		rs = append(rs, record(i))
	}
	return rs
}

func TestLog(t *testing.T) {
	Convey("Given a log with 20 records over several segments", t, func() {
		d := memfs.New()
		l, found := open(d)
		So(found.Fresh, ShouldBeTrue)
		for i := 1; i <= 20; i++ {
			So(l.Append(record(i)), ShouldBeNil)
		}
		reopen := func() *wal.Recovered {
			So(l.Close(), ShouldBeNil)
			var again *wal.Recovered
			l, again = open(d)
			So(again.Fresh, ShouldBeFalse)
			So(again.Identity, ShouldResemble, found.Identity)
			return again
		}
		Convey("all are recovered in order", func() {
			So(reopen().Records, ShouldResemble, records(1, 20))
		})
		Convey("truncated records are not recovered, also after later appends", func() {
			So(l.TruncateAfter(7), ShouldBeNil)
			So(l.Append(record(8)), ShouldBeNil)
			So(reopen().Records, ShouldResemble, records(1, 8))
		})
		Convey("a snapshot removes the segments it covers, and only those", func() {
			before, _ := d.List()
			So(l.SaveSnapshot(15, []byte("state")), ShouldBeNil)
			after, _ := d.List()
			So(len(after), ShouldBeLessThan, len(before))
			again := reopen()
			So(string(again.Snapshot), ShouldEqual, "state")
			So(again.SnapshotIndex, ShouldEqual, 15)
			So(again.Records, ShouldResemble, records(16, 20))
		})
		Convey("a snapshot with an index that is not above the last one is refused", func() {
			So(l.SaveSnapshot(5, nil), ShouldBeNil)
			So(l.SaveSnapshot(5, nil), ShouldNotBeNil)
		})
		Convey("calls on a closed log and opening an open log are refused", func() {
			_, _, err := wal.Open(options(d))
			So(errors.Is(err, wal.ErrLocked), ShouldBeTrue)
			So(l.Close(), ShouldBeNil)
			So(l.Append(record(21)), ShouldEqual, wal.ErrClosed)
			So(l.SaveSnapshot(1, nil), ShouldEqual, wal.ErrClosed)
			So(l.Close(), ShouldEqual, wal.ErrClosed)
		})
	})
}

func TestForeignFolder(t *testing.T) {
	cases := []struct {
		name   string
		change func(o *wal.Options)
		file   string // replaces the identity
		want   string
	}{
		{"another host", func(o *wal.Options) { o.Host = "other" }, "", `folder belongs to host "h"`},
		{"another kind", func(o *wal.Options) { o.Kind = "claim" }, "", `kind "agree"`},
		{"a later format", func(*wal.Options) {}, `{"host":"h","incarnation":"00112233445566778899aabbccddeeff","kind":"agree","format":2}`, "format 2 is unknown"},
		{"damaged identity", func(*wal.Options) {}, "{", "not readable"},
	}
	for _, c := range cases {
		Convey("A folder of "+c.name+" is refused with a finding", t, func() {
			d := memfs.New()
			l, _ := open(d)
			So(l.Close(), ShouldBeNil)
			if c.file != "" {
				So(d.Remove("identity"), ShouldBeNil)
				f, _ := d.Create("identity")
				_, _ = f.Write([]byte(c.file))
			}
			o := options(d)
			c.change(&o)
			_, _, err := wal.Open(o)
			var list finding.List
			So(errors.As(err, &list), ShouldBeTrue)
			So(list.Error(), ShouldContainSubstring, c.want)
		})
	}
}

// TestDamage guards against damaged or missing data that is silently skipped.
func TestDamage(t *testing.T) {
	cases := []struct {
		name    string
		damage  func(d *memfs.Disk, segments []string)
		corrupt bool
		records int // recovered if not corrupt
	}{
		{"first segment, in a frame", func(d *memfs.Disk, s []string) { d.Damage(s[0], 60) }, true, 0},
		{"first segment, header", func(d *memfs.Disk, s []string) { d.Damage(s[0], 3) }, true, 0},
		{"last segment, before an intact frame", func(d *memfs.Disk, s []string) { d.Damage(s[len(s)-1], 30) }, true, 0},
		{"last segment, last frame", func(d *memfs.Disk, s []string) {
			data, _ := d.Read(s[len(s)-1])
			d.Damage(s[len(s)-1], len(data)-1)
		}, false, 19},
		{"a segment in the middle is missing", func(d *memfs.Disk, s []string) { _ = d.Remove(s[1]) }, true, 0},
		{"the first segment is missing", func(d *memfs.Disk, s []string) { _ = d.Remove(s[0]) }, true, 0},
		{"the identity is missing", func(d *memfs.Disk, _ []string) { _ = d.Remove("identity") }, true, 0},
	}
	for _, c := range cases {
		Convey("Damage: "+c.name, t, func() {
			d := memfs.New()
			l, _ := open(d)
			for i := 1; i <= 20; i++ {
				So(l.Append(record(i)), ShouldBeNil)
			}
			So(l.Close(), ShouldBeNil)
			names, _ := d.List()
			var segments []string
			for _, n := range names {
				if strings.HasSuffix(n, ".segment") {
					segments = append(segments, n)
				}
			}
			So(len(segments), ShouldBeGreaterThan, 2)
			c.damage(d, segments)
			_, found, err := wal.Open(options(d))
			if c.corrupt {
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, "data/")
				return
			}
			So(err, ShouldBeNil)
			So(found.Records, ShouldResemble, records(1, c.records))
		})
	}
}

// TestFailedWrite guards against records reported durable after a failed write or sync.
func TestFailedWrite(t *testing.T) {
	for _, op := range []memfs.Op{memfs.OpWrite, memfs.OpSync, memfs.OpCreate, memfs.OpSyncFolder} {
		Convey(fmt.Sprintf("After a failed operation %d the log refuses writes", op), t, func() {
			d := memfs.New()
			l, _ := open(d)
			for i := 1; i <= 5; i++ { // the next append needs a new segment
				So(l.Append(record(i)), ShouldBeNil)
			}
			d.Fail(op, syscall.ENOSPC)
			err := l.Append(record(6))
			So(errors.Is(err, syscall.ENOSPC), ShouldBeTrue)
			d.Fail(op, nil)
			var failed *wal.FailedError
			So(errors.As(l.Append(record(7)), &failed), ShouldBeTrue)
			So(errors.As(l.SaveSnapshot(1, nil), &failed), ShouldBeTrue)
			_ = l.Close()
			l, found := open(d)
			So(len(found.Records), ShouldBeBetweenOrEqual, 5, 6)
			So(found.Records[:5], ShouldResemble, records(1, 5))
			So(l.Close(), ShouldBeNil)
		})
	}
}

func TestReadOnlyFolder(t *testing.T) {
	if os.Getuid() == 0 {
		t.Log("running as root, which ignores permissions; TestFailedWrite covers the error path")
		return
	}
	folder := t.TempDir()
	if err := os.Chmod(folder, 0o500); err != nil {
		t.Fatal(err)
	}
	if _, _, err := wal.Open(wal.Options{Folder: folder, Host: "h", Kind: "agree"}); err == nil {
		t.Fatal("a read-only folder was opened")
	}
}

// TestConcurrentAppends guards against records that are lost or repeated when
// concurrent appends share a sync.
func TestConcurrentAppends(t *testing.T) {
	folder := t.TempDir()
	o := wal.Options{Folder: folder, Host: "h", Kind: "claim", SegmentBytes: 4096}
	l, _, err := wal.Open(o)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i := 1; i <= 300; i++ {
		wg.Go(func() {
			if err := l.Append(record(i)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	_, found, err := wal.Open(o)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[uint64]bool{}
	for _, r := range found.Records {
		if seen[r.Index] || string(r.Data) != string(record(int(r.Index)).Data) {
			t.Fatalf("record %d is wrong or repeated", r.Index)
		}
		seen[r.Index] = true
	}
	if len(seen) != 300 {
		t.Fatalf("%d of 300 records recovered", len(seen))
	}
}

// TestLargeAppend guards against a frame so large that it is taken for a torn one when
// the log is opened again, although it was reported durable.
func TestLargeAppend(t *testing.T) {
	Convey("A call with more bytes than a frame may have is refused and writes nothing", t, func() {
		l, _ := open(memfs.New())
		defer func() { _ = l.Close() }()
		data := make([]byte, 1<<20)
		large := make([]wal.Record, 1+wal.MaxAppendBytes/len(data))
		for i := range large {
			large[i] = wal.Record{Index: uint64(i + 1), Data: data}
		}
		So(l.Append(large...), ShouldNotBeNil)
		So(l.Append(record(1)), ShouldBeNil)
	})
}
