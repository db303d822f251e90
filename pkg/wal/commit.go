package wal

const (
	maxQueued = 1024 // requests; Append and TruncateAfter block while the queue is full
	// maxBatchBytes limits the records of one frame, so that a large batch does not
	// delay the first request in it for long.
	maxBatchBytes = 4 << 20
)

// request is a call of Append or TruncateAfter that waits until its frame is durable.
type request struct {
	records  []Record
	truncate bool
	after    uint64
	result   chan error
}

// bytes returns the encoded size of the records.
func (r *request) bytes() int {
	n := 0
	for _, rec := range r.records {
		n += recordHeaderBytes + len(rec.Data)
	}
	return n
}

// submit queues a request and waits for its result.
func (l *Log) submit(r *request) error {
	r.result = make(chan error, 1)
	l.closeMu.RLock()
	if l.closed {
		l.closeMu.RUnlock()
		return ErrClosed
	}
	l.requests <- r
	l.closeMu.RUnlock()
	return <-r.result
}

// run writes queued requests until the log is closed.
func (l *Log) run() {
	defer close(l.done)
	var held *request // received from the queue but left out of the last batch
	for {
		first := held
		held = nil
		if first == nil {
			var ok bool
			if first, ok = <-l.requests; !ok {
				return
			}
		}
		batch := []*request{first}
		if !first.truncate {
			batch, held = l.collectBatch(batch)
		}
		err := l.write(batch)
		for _, r := range batch {
			r.result <- err
		}
	}
}

// collectBatch adds queued requests to a batch until the queue is empty, the batch
// reaches maxBatchBytes, or a truncation follows. The truncation is returned as held.
func (l *Log) collectBatch(batch []*request) (_ []*request, held *request) {
	size := batch[0].bytes()
	for size < maxBatchBytes {
		select {
		case r, ok := <-l.requests:
			if !ok {
				return batch, nil
			}
			if r.truncate {
				return batch, r
			}
			size += r.bytes()
			batch = append(batch, r)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// write makes a batch durable as one frame.
func (l *Log) write(batch []*request) error {
	f := &frame{Kind: frameAppend}
	if batch[0].truncate {
		f.Kind, f.After = frameTruncate, batch[0].after
	}
	for _, r := range batch {
		f.Records = append(f.Records, r.records...)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	if err := l.writeFrame(f); err != nil {
		return l.fail(err)
	}
	return nil
}
