package replica

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// loop runs the node; no other goroutine uses it. Each iteration takes the
// waiting inputs, about maxBatch at most, and makes their common output durable
// with one write to disk.
func (g *Group) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer g.failPending()
	for {
		select {
		case <-g.quit:
			return
		case <-ticker.C:
			g.node.Tick(g.now())
		case m := <-g.inbox:
			g.step(m)
		case call := <-g.calls:
			call()
		case s := <-g.applier.snapshots:
			g.saveSnapshot(s)
		case s := <-g.saved:
			g.snapshotSaved(s)
		}
		g.drainInputs()
		if !g.handleOutput() {
			return
		}
	}
}

// drainInputs handles up to maxBatch waiting messages and calls.
func (g *Group) drainInputs() {
	for range maxBatch {
		select {
		case m := <-g.inbox:
			g.step(m)
		case call := <-g.calls:
			call()
		default:
			return
		}
	}
}

func (g *Group) step(m agree.Message) {
	g.queued.Release(m.Bytes())
	if err := g.node.Step(g.now(), m); err != nil {
		g.fail(err)
	}
}

// handleOutput processes the node's output in the order that agree.Output
// requires: persist, send, apply. It returns false if the group has stopped.
func (g *Group) handleOutput() bool {
	if g.stopped() {
		return false
	}
	o := g.node.Ready()
	if err := g.save(&o); err != nil {
		g.fail(err)
		return false
	}
	g.publish()
	for i := range o.Messages {
		g.send(&o.Messages[i])
	}
	g.apply(&o)
	g.failLostProposals()
	for _, r := range o.Reads {
		if ch, ok := g.reads[r.ID]; ok {
			ch <- r
			delete(g.reads, r.ID)
		}
	}
	return true
}

// save makes an output durable and updates the counters.
func (g *Group) save(o *agree.Output) error {
	started, last := time.Now(), g.journal.last
	if err := g.journal.save(o); err != nil {
		return err
	}
	if g.journal.last == last {
		return nil // nothing to write
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Entries += uint64(len(o.Entries))
	g.counts.Syncs++
	g.counts.SyncTime += time.Since(started)
	return nil
}

func (g *Group) send(m *agree.Message) {
	addr := g.addressOf(m.To.Name, g.node.Status().Members)
	if addr == "" {
		return // the next probe may find the address; the protocol repeats the message
	}
	// A message that cannot be sent is lost; the protocol repeats it.
	_ = peer.Notify(g.config.Client, addr, method, wireRequest{Kind: wireMessage, Message: m})
}

// apply passes committed entries and a received snapshot on to the state machine.
func (g *Group) apply(o *agree.Output) {
	var tasks []task
	if o.Install != nil {
		g.config.Log.Info("snapshot received", "index", o.Install.Index, "bytes", len(o.Install.Data))
		tasks = append(tasks, task{install: o.Install})
	}
	for _, e := range o.Committed {
		t := task{entry: e}
		if p, ok := g.pending[e.Index]; ok {
			delete(g.pending, e.Index)
			if p.term == e.Term {
				t.result = p.result
			} else { // replaced by another leader's entry, so it is never committed
				p.result <- proposalResult{err: g.notLeader()}
			}
		}
		tasks = append(tasks, t)
	}
	if len(tasks) > 0 {
		g.applier.add(tasks...)
	}
}

// publish makes the node's state visible to other goroutines and logs changes of
// role and membership.
func (g *Group) publish() {
	s := g.node.Status()
	historyExists := g.node.HasHistory()
	g.mu.Lock()
	old := g.status
	g.status, g.historyExists = s, historyExists
	if old.Role != s.Role && s.Role == agree.Candidate {
		g.counts.Elections++
	}
	if old.Role != s.Role && s.Role == agree.Leader {
		g.counts.ElectionsWon++
	}
	g.mu.Unlock()
	if old.Role != s.Role || old.Term != s.Term || old.Leader != s.Leader {
		g.config.Log.Info("role changed", "role", s.Role, "term", s.Term, "leader", s.Leader.Name, "commit", s.Commit)
	}
	if old.Members.Index != s.Members.Index {
		g.config.Log.Info("members changed", "index", s.Members.Index, "members", memberList(s.Members))
	}
}
