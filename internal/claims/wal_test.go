package claims

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
	. "github.com/smartystreets/goconvey/convey"
)

// walLog implements Log with a wal.Log, as the control host does.
type walLog struct {
	folder string
	log    *wal.Log
}

func (l *walLog) Append(first uint64, records [][]byte) error {
	recs := make([]wal.Record, len(records))
	for i, data := range records {
		recs[i] = wal.Record{Index: first + uint64(i), Data: data}
	}
	return l.log.Append(recs...)
}

func (l *walLog) SaveSnapshot(index uint64, data []byte) error {
	return l.log.SaveSnapshot(index, data)
}

// open opens the log, after closing it if it was open, and returns its content.
func (l *walLog) open(t testing.TB) *Recovered {
	if l.log != nil {
		_ = l.log.Close()
	}
	log, r, err := wal.Open(wal.Options{Folder: l.folder, Host: filepath.Base(l.folder), Kind: "claim"})
	if err != nil {
		t.Fatal(err)
	}
	l.log = log
	out := &Recovered{
		Incarnation: r.Identity.Incarnation, Fresh: r.Fresh,
		SnapshotIndex: r.SnapshotIndex, Snapshot: r.Snapshot, LastIndex: r.SnapshotIndex,
	}
	for _, rec := range r.Records {
		out.Records, out.LastIndex = append(out.Records, rec.Data), rec.Index
	}
	return out
}

func (l *walLog) bytes() (sum int64) {
	_ = filepath.Walk(l.folder, func(_ string, f os.FileInfo, err error) error {
		if err == nil && !f.IsDir() {
			sum += f.Size()
		}
		return nil
	})
	return sum
}

// startWALCluster starts three stores with synced files.
func startWALCluster(t testing.TB) (*cluster, []*walLog) {
	var logs []*walLog
	folder := t.TempDir()
	c := startClusterOn(t, 3, func() (Log, func() *Recovered) {
		l := &walLog{folder: filepath.Join(folder, fmt.Sprint("control-", len(logs)))}
		logs = append(logs, l)
		return l, func() *Recovered { return l.open(t) }
	})
	t.Cleanup(func() {
		for i, l := range logs {
			c.nodes[i].stop()
			_ = l.log.Close()
		}
	})
	return c, logs
}

// TestFiles guards against claims that are lost or granted twice after all stores restart.
func TestFiles(t *testing.T) {
	Convey("Given three stores with synced files", t, func() {
		c, _ := startWALCluster(t)
		ctx := testContext(t)
		a := c.client("a")
		done, open := newKey(), newKey()
		h, _, err := a.Begin(ctx, "bookings", done)
		So(err, ShouldBeNil)
		h.Finish(answer("booked"))
		owner, _, err := a.Begin(ctx, "bookings", open)
		So(err, ShouldBeNil)
		owner.end() // as if its host had crashed
		So(a.Drain(ctx), ShouldBeNil)
		c.awaitRecords(2)
		So(c.nodes[0].service.Load().saveSnapshot(), ShouldBeNil)
		for i := range c.nodes {
			c.restart(i, false)
		}

		Convey("the answer is replayed and a key without a result is not granted again", func() {
			b := c.client("b")
			_, got, err := b.Begin(ctx, "bookings", done)
			So(err, ShouldBeNil)
			So(string(got.Body), ShouldEqual, "booked")
			_, _, err = b.Begin(ctx, "bookings", open)
			So(outcome(err), ShouldEqual, "unknown claim-unknown")
		})
	})
}
