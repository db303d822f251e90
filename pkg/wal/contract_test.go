package wal_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal/memfs"
)

// TestFilesContract guards against operations on which memfs and the files of the
// operating system behave differently.
func TestFilesContract(t *testing.T) {
	real, err := wal.NewOSFiles(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for name, files := range map[string]wal.Files{"operating system": real, "memfs": memfs.New()} {
		Convey("Given the files of "+name, t, func() { contract(files) })
	}
}

// contract checks the behavior that all implementations of wal.Files share.
func contract(files wal.Files) {
	f, err := files.Create("a")
	So(err, ShouldBeNil)
	_, err = files.Create("a")
	So(err, ShouldNotBeNil)
	write := func(f wal.File, s string) {
		n, err := f.Write([]byte(s))
		So(n, ShouldEqual, len(s))
		So(err, ShouldBeNil)
	}
	read := func(name string) string {
		data, err := files.Read(name)
		So(err, ShouldBeNil)
		return string(data)
	}
	write(f, "12345")
	So(f.Sync(), ShouldBeNil)
	So(f.Truncate(2), ShouldBeNil)
	write(f, "x")
	So(read("a"), ShouldEqual, "12x")
	So(f.Close(), ShouldBeNil)
	So(f.Close(), ShouldNotBeNil)
	_, err = f.Write([]byte("late"))
	So(err, ShouldNotBeNil)

	f, err = files.Append("a")
	So(err, ShouldBeNil)
	write(f, "y")
	So(f.Close(), ShouldBeNil)
	_, err = files.Append("none")
	So(err, ShouldNotBeNil)
	_, err = files.Read("none")
	So(err, ShouldNotBeNil)

	g, err := files.Create("b")
	So(err, ShouldBeNil)
	So(g.Close(), ShouldBeNil)
	So(files.Rename("a", "b"), ShouldBeNil)
	So(files.Rename("a", "b"), ShouldNotBeNil)
	So(read("b"), ShouldEqual, "12xy")
	names, err := files.List()
	So(err, ShouldBeNil)
	So(names, ShouldResemble, []string{"b"})
	So(files.SyncFolder(), ShouldBeNil)
	So(files.Remove("b"), ShouldBeNil)
	So(files.Remove("b"), ShouldNotBeNil)

	unlock, err := files.Lock()
	So(err, ShouldBeNil)
	_, err = files.Lock()
	So(err, ShouldEqual, wal.ErrLocked)
	So(unlock(), ShouldBeNil)
	unlock, err = files.Lock()
	So(err, ShouldBeNil)
	So(unlock(), ShouldBeNil)
}
