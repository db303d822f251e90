package wal_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
	"github.com/hornbeamstack/hornbeamstack/pkg/wal/memfs"
)

func init() {
	// A fixed seed repeats the same runs; -rapid.seed on the command line takes precedence.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

// content is the snapshot and the records of a log.
type content struct {
	snapshotIndex uint64
	snapshot      string
	records       []wal.Record
}

func (c content) String() string {
	s := fmt.Sprintf("snapshot %d %q:", c.snapshotIndex, c.snapshot)
	for _, r := range c.records {
		s += fmt.Sprintf(" %d=%s", r.Index, r.Data)
	}
	return s
}

// last returns the highest index in the log.
func (c content) last() uint64 {
	if len(c.records) == 0 {
		return c.snapshotIndex
	}
	return c.records[len(c.records)-1].Index
}

// diskRun runs a log on a disk that crashes. The effect of every call that returned
// nil has to be recovered; that of an interrupted call may be.
type diskRun struct {
	disk        *memfs.Disk
	log         *wal.Log
	identity    wal.Identity
	state       content
	interrupted []content // the state after a call that failed, until the next recovery
	counter     int
}

func (r *diskRun) open(t *rapid.T) {
	for r.log == nil {
		l, found, err := wal.Open(options(r.disk))
		if err != nil {
			if !r.crash(t) {
				t.Fatalf("open: %v", err)
			}
			continue
		}
		r.log = l
		r.check(t, found)
	}
}

// check compares the recovered content with the possible states.
func (r *diskRun) check(t *rapid.T, found *wal.Recovered) {
	if r.identity.Incarnation != "" && r.identity != found.Identity {
		t.Fatalf("identity changed from %v to %v", r.identity, found.Identity)
	}
	r.identity = found.Identity
	got := content{snapshotIndex: found.SnapshotIndex, snapshot: string(found.Snapshot), records: found.Records}
	possible := append([]content{r.state}, r.interrupted...)
	if !slices.ContainsFunc(possible, func(c content) bool { return c.String() == got.String() }) {
		t.Fatalf("recovered %v, want one of %v", got, possible)
	}
	r.state, r.interrupted = got, nil
}

// crash restarts the process or the host if a crash point was reached, and reports
// whether it was. After a restart of the process alone unsynced data may be recovered;
// a restart of the host follows a power loss.
func (r *diskRun) crash(t *rapid.T) bool {
	if _, err := r.disk.List(); err == nil {
		return false
	}
	if rapid.Bool().Draw(t, "process only") {
		r.disk.Kill()
		return true
	}
	r.disk.Restart(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "survives") })
	return true
}

// call performs a call on the log whose effect is the state next.
func (r *diskRun) call(t *rapid.T, next content, f func() error) {
	err := f()
	if err == nil {
		r.state = next
		return
	}
	r.interrupted = append(r.interrupted, next)
	_ = r.log.Close()
	r.log = nil
	if !r.crash(t) {
		t.Fatalf("call failed without a crash: %v", err)
	}
	r.open(t)
}

func (r *diskRun) append(t *rapid.T) {
	next := r.state
	next.records = slices.Clone(next.records)
	var added []wal.Record
	for range rapid.IntRange(1, 3).Draw(t, "records") {
		r.counter++
		data := fmt.Appendf(nil, "%0*d", rapid.SampledFrom([]int{1, 30, 700}).Draw(t, "size"), r.counter)
		rec := wal.Record{Index: next.last() + 1, Data: data}
		added, next.records = append(added, rec), append(next.records, rec)
	}
	r.call(t, next, func() error { return r.log.Append(added...) })
}

func (r *diskRun) truncate(t *rapid.T) {
	next := r.state
	after := rapid.Uint64Range(next.snapshotIndex, next.last()).Draw(t, "after")
	next.records = slices.DeleteFunc(slices.Clone(next.records), func(x wal.Record) bool { return x.Index > after })
	r.call(t, next, func() error { return r.log.TruncateAfter(after) })
}

func (r *diskRun) snapshot(t *rapid.T) {
	if r.state.last() == r.state.snapshotIndex {
		return
	}
	next := r.state
	next.snapshotIndex = rapid.Uint64Range(next.snapshotIndex+1, next.last()).Draw(t, "index")
	next.snapshot = fmt.Sprint("state ", next.snapshotIndex)
	next.records = slices.DeleteFunc(slices.Clone(next.records), func(x wal.Record) bool { return x.Index <= next.snapshotIndex })
	r.call(t, next, func() error { return r.log.SaveSnapshot(next.snapshotIndex, []byte(next.snapshot)) })
}

func (r *diskRun) crashIn(t *rapid.T) { r.disk.CrashIn(rapid.IntRange(0, 12).Draw(t, "operations")) }

// kill restarts the process without a power loss, so that unsynced data is recovered.
func (r *diskRun) kill(t *rapid.T) {
	_ = r.log.Close()
	r.log = nil
	r.disk.Kill()
	r.open(t)
}

// powerLoss crashes the host between two calls.
func (r *diskRun) powerLoss(t *rapid.T) {
	r.disk.CrashIn(0)
	_ = r.disk.SyncFolder()
	_ = r.log.Close()
	r.log = nil
	r.crash(t)
	r.open(t)
}

// TestRecovery guards against acknowledged records that are lost, truncated records
// that return, and crashes that are reported as corruption.
func TestRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &diskRun{disk: memfs.New()}
		r.crashIn(t)
		r.open(t)
		t.Repeat(map[string]func(*rapid.T){
			"append": r.append, "append again": r.append, "truncate": r.truncate, "snapshot": r.snapshot,
			"crash in": r.crashIn, "kill": r.kill, "power loss": r.powerLoss,
		})
		_ = r.log.Close()
	})
}
