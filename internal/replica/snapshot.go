package replica

import "github.com/hornbeamstack/hornbeamstack/pkg/agree"

// savedSnapshot is the result of writing a snapshot.
type savedSnapshot struct {
	snapshot agree.Snapshot
	err      error
}

// saveSnapshot writes a snapshot in the background, unless one is being written.
// Records written in the meantime have a larger index, so the compaction keeps
// them.
func (g *Group) saveSnapshot(m machineSnapshot) {
	s, ok := g.node.SnapshotAt(m.index, m.data)
	if !ok || g.savingSnapshot {
		return
	}
	g.savingSnapshot = true
	state, entries := g.node.StateAfter(s)
	index := g.journal.last
	g.wg.Go(func() {
		err := g.journal.compact(index, &persisted{State: state, Snapshot: s, Entries: entries})
		g.saved <- savedSnapshot{snapshot: s, err: err}
	})
}

// snapshotSaved handles the result of a snapshot's write.
func (g *Group) snapshotSaved(s savedSnapshot) {
	g.savingSnapshot = false
	if s.err != nil {
		g.fail(s.err)
		return
	}
	g.node.Compact(s.snapshot)
	g.config.Log.Info("snapshot saved", "index", s.snapshot.Index, "bytes", len(s.snapshot.Data))
}
