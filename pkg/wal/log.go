package wal

import (
	"fmt"
	"sync"
)

// Log is an open write-ahead log. It is safe for concurrent use.
type Log struct {
	options  Options
	files    Files
	unlock   func() error
	requests chan *request
	done     chan struct{}

	closeMu sync.RWMutex // held for reading while a request is queued
	closed  bool

	mu       sync.Mutex
	err      error // first failure as a FailedError; all later writes return it
	active   File
	segments []*segment // ascending; the last one is active
	next     uint64     // sequence number of the next frame
	snapshot uint64     // index of the newest snapshot

	snapshotMu sync.Mutex // serializes SaveSnapshot
}

func newLog(o Options, snapshot uint64) *Log {
	return &Log{
		options: o, files: o.Files, snapshot: snapshot, next: 1,
		requests: make(chan *request, maxQueued), done: make(chan struct{}),
	}
}

// Append appends records and returns once they are durable. Concurrent calls may
// share one sync.
func (l *Log) Append(recs ...Record) error {
	if len(recs) == 0 {
		return nil
	}
	for _, r := range recs {
		if len(r.Data) > MaxRecordBytes {
			return fmt.Errorf("record %d has %d bytes, the limit is %d", r.Index, len(r.Data), MaxRecordBytes)
		}
	}
	r := &request{records: recs}
	if n := r.bytes(); n > MaxAppendBytes {
		return fmt.Errorf("%d records have %d bytes, the limit of one call is %d", len(recs), n, MaxAppendBytes)
	}
	return l.submit(r)
}

// TruncateAfter removes all records with a larger index and returns once the removal
// is durable.
func (l *Log) TruncateAfter(index uint64) error {
	return l.submit(&request{truncate: true, after: index})
}

// Close waits for queued calls, closes the files and unlocks the folder.
func (l *Log) Close() error {
	l.closeMu.Lock()
	if l.closed {
		l.closeMu.Unlock()
		return ErrClosed
	}
	l.closed = true
	close(l.requests)
	l.closeMu.Unlock()
	<-l.done
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.active.Close()
	if unlockErr := l.unlock(); err == nil {
		err = unlockErr
	}
	return err
}

// fail records err as the cause of FailedError, unless an earlier failure is recorded,
// and returns err. The caller holds mu.
func (l *Log) fail(err error) error {
	if l.err == nil {
		l.err = &FailedError{Cause: err}
	}
	return err
}
