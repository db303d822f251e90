package claims

import (
	"fmt"
	"sync"
)

const (
	// maxBatchBytes bounds the records of one sync, in bytes, so that a burst of
	// large answers does not delay votes for long.
	maxBatchBytes = 4 << 20
)

// journal writes records to the log in the order of the calls of add. It groups
// records that are waiting into one sync.
type journal struct {
	log Log

	mu     sync.Mutex
	queue  [][]byte
	added  uint64 // index of the last record that was added
	synced uint64 // index of the last record on disk
	size   int    // bytes on disk since the last snapshot
	failed error
	closed bool
	wake   *sync.Cond // signalled when records are added or the journal is closed
	done   *sync.Cond // signalled when records are synced, on failure and on close

	ended chan struct{} // closed when run returns
}

func newJournal(log Log, last uint64) *journal {
	j := &journal{log: log, added: last, synced: last, ended: make(chan struct{})}
	j.wake, j.done = sync.NewCond(&j.mu), sync.NewCond(&j.mu)
	go j.run()
	return j
}

// add queues a record and returns its index.
func (j *journal) add(record []byte) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.queue = append(j.queue, record)
	j.added++
	j.wake.Signal()
	return j.added
}

// wait returns nil once the record with this index is on disk, or an error if the
// log failed or the journal was closed before.
func (j *journal) wait(index uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.synced < index && j.failed == nil && !j.closed {
		j.done.Wait()
	}
	if j.synced >= index {
		return nil
	}
	if j.failed != nil {
		return fmt.Errorf("claim log has failed: %w", j.failed)
	}
	return errStopped
}

// lastSynced returns the index of the last record on disk.
func (j *journal) lastSynced() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.synced
}

// bytesSinceSnapshot returns the size of the records that were synced since the
// last snapshot.
func (j *journal) bytesSinceSnapshot() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.size
}

// resetSize restarts the count of bytes since the last snapshot.
func (j *journal) resetSize() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.size = 0
}

// close stops the journal without writing queued records, and waits for run to return.
func (j *journal) close() {
	j.mu.Lock()
	j.closed = true
	j.wake.Signal()
	j.done.Broadcast()
	j.mu.Unlock()
	<-j.ended
}

func (j *journal) run() {
	defer close(j.ended)
	for {
		first, batch := j.nextBatch()
		if batch == nil {
			return
		}
		err := j.log.Append(first, batch)
		if !j.finishBatch(batch, err) {
			return
		}
	}
}

// nextBatch waits for records and returns as many as fit into one batch.
func (j *journal) nextBatch() (first uint64, batch [][]byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for len(j.queue) == 0 && !j.closed {
		j.wake.Wait()
	}
	if j.closed {
		return 0, nil
	}
	n, size := 0, 0
	for n < len(j.queue) && (n == 0 || size+len(j.queue[n]) <= maxBatchBytes) {
		size += len(j.queue[n])
		n++
	}
	batch = j.queue[:n:n]
	j.queue = j.queue[n:]
	return j.synced + 1, batch
}

// finishBatch records the result of writing a batch and returns false if it
// failed. After a failure nothing more is written: memory is ahead of the disk,
// so no later reply can be trusted.
func (j *journal) finishBatch(batch [][]byte, err error) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		j.failed = err
	} else {
		j.synced += uint64(len(batch))
		for _, record := range batch {
			j.size += len(record)
		}
	}
	j.done.Broadcast()
	return err == nil
}
