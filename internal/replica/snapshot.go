package replica

import "github.com/hornbeamstack/hornbeamstack/pkg/agree"

// savedSnapshot reports the end of a snapshot's write.
type savedSnapshot struct {
	snapshot agree.Snapshot
	err      error
}

// saveSnapshot writes a snapshot in the background. Records that are written
// meanwhile have a larger index and stay.
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

func (g *Group) snapshotSaved(s savedSnapshot) {
	g.savingSnapshot = false
	if s.err != nil {
		g.fail(s.err)
		return
	}
	g.node.Compact(s.snapshot)
	g.config.Log.Info("snapshot saved", "index", s.snapshot.Index, "bytes", len(s.snapshot.Data))
}
