package wal

import "fmt"

// SaveSnapshot stores data durably as the state up to index, then removes older
// snapshots and the segments that contain only records up to index. Appends proceed
// while the snapshot is written.
func (l *Log) SaveSnapshot(index uint64, data []byte) error {
	l.closeMu.RLock()
	defer l.closeMu.RUnlock()
	if l.closed {
		return ErrClosed
	}
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.checkSnapshot(index); err != nil {
		return err
	}
	err := writeFileAtomic(l.files, snapshotName(index), encodeSnapshot(index, data))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		return l.fail(err)
	}
	l.snapshot = index
	if err := l.dropOldFiles(); err != nil {
		return l.fail(err)
	}
	return nil
}

// checkSnapshot refuses a snapshot of a failed log or with an index that is too low.
func (l *Log) checkSnapshot(index uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	if index <= l.snapshot {
		return fmt.Errorf("snapshot index %d is not above the last one, %d", index, l.snapshot)
	}
	return nil
}

// dropOldFiles removes the files that the newest snapshot replaces. It removes
// segments oldest first and syncs each removal before the next: a truncation frame
// must not disappear while an older segment still contains the records it removed.
// Without a snapshot it removes nothing, since a log without one has to start with
// its first frame. The caller holds mu, except in Open.
func (l *Log) dropOldFiles() error {
	if l.snapshot == 0 {
		return nil
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= l.snapshot {
		if err := l.remove(l.segments[0].name); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	names, err := l.files.List()
	if err != nil {
		return fmt.Errorf("list files: %w", err)
	}
	for _, name := range names {
		if index, ok := parseName(name, snapshotSuffix); ok && index < l.snapshot {
			if err := l.remove(name); err != nil {
				return err
			}
		}
	}
	return nil
}

// remove deletes a file durably.
func (l *Log) remove(name string) error {
	if err := l.files.Remove(name); err != nil {
		return fmt.Errorf("remove %s: %w", name, err)
	}
	if err := l.files.SyncFolder(); err != nil {
		return fmt.Errorf("sync folder after removal of %s: %w", name, err)
	}
	return nil
}
