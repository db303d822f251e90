package replica

import (
	"context"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/agree"
)

// task is a snapshot to restore or a committed entry to apply.
type task struct {
	install *agree.Snapshot // nil for an entry
	entry   agree.Entry
	result  chan<- proposalResult // nil if no proposal waits on this host
}

// machineSnapshot is the state machine's data as of an index of the log.
type machineSnapshot struct {
	index uint64
	data  []byte
}

// applier runs the state machine in a goroutine of its own, so that a slow state
// machine does not delay heartbeats.
type applier struct {
	machine   StateMachine
	snapshots chan machineSnapshot // to the loop
	onError   func(error)

	mu      sync.Mutex
	wake    *sync.Cond
	tasks   []task
	stopped bool
	applied uint64
	waiters map[chan struct{}]uint64 // awaited index by channel, which is closed once applied reaches it

	entries int // since the last snapshot
	bytes   int // of their commands
}

func newApplier(m StateMachine, applied uint64, onError func(error)) *applier {
	a := &applier{machine: m, applied: applied, onError: onError,
		snapshots: make(chan machineSnapshot, 1), waiters: map[chan struct{}]uint64{}}
	a.wake = sync.NewCond(&a.mu)
	return a
}

func (a *applier) add(tasks ...task) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tasks = append(a.tasks, tasks...)
	a.wake.Signal()
}

func (a *applier) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.wake.Signal()
}

func (a *applier) run() {
	for {
		a.mu.Lock()
		for len(a.tasks) == 0 && !a.stopped {
			a.wake.Wait()
		}
		tasks, stopped := a.tasks, a.stopped
		a.tasks = nil
		a.mu.Unlock()
		if stopped {
			for _, t := range tasks {
				t.sendResult(proposalResult{err: &UnknownResultError{Cause: ErrStopped}})
			}
			return
		}
		for i := range tasks {
			a.perform(&tasks[i])
		}
	}
}

// perform restores a snapshot, or applies an entry and sends the result. A state machine
// that outlived an earlier member of the group holds the first entries already.
func (a *applier) perform(t *task) {
	if held := a.index(); t.install != nil && t.install.Index <= held || t.install == nil && t.entry.Index <= held {
		return // nobody waits for the result: proposals of this member come later
	}
	if t.install != nil {
		if err := a.machine.Restore(t.install.Data); err != nil {
			a.onError(err)
			return
		}
		a.entries, a.bytes = 0, 0
		a.setApplied(t.install.Index)
		return
	}
	var result []byte
	if t.entry.Kind == agree.EntryCommand {
		result = a.machine.Apply(t.entry.Index, t.entry.Command)
	}
	a.entries++
	a.bytes += len(t.entry.Command)
	a.setApplied(t.entry.Index)
	t.sendResult(proposalResult{value: result})
	a.snapshotIfDue(t.entry.Index)
}

func (t *task) sendResult(r proposalResult) {
	if t.result != nil {
		t.result <- r
	}
}

// snapshotIfDue passes a snapshot to the loop if enough was applied since the last
// one, unless the loop has not taken that one yet.
func (a *applier) snapshotIfDue(index uint64) {
	if a.entries < snapshotEntries && a.bytes < snapshotBytes || len(a.snapshots) > 0 {
		return
	}
	a.snapshots <- machineSnapshot{index: index, data: a.machine.Snapshot()}
	a.entries, a.bytes = 0, 0
}

// setApplied records the last applied index and wakes those that wait for it.
func (a *applier) setApplied(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = index
	for ch, wanted := range a.waiters {
		if wanted <= index {
			close(ch)
			delete(a.waiters, ch)
		}
	}
}

func (a *applier) index() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied
}

// wait returns once the state machine has applied index.
func (a *applier) wait(ctx context.Context, index uint64, stopped <-chan struct{}) error {
	a.mu.Lock()
	if a.applied >= index {
		a.mu.Unlock()
		return nil
	}
	ch := make(chan struct{})
	a.waiters[ch] = index
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.waiters, ch)
		a.mu.Unlock()
	}()
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-stopped:
		return ErrStopped
	}
}
