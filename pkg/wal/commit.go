package wal

const (
	maxQueued = 1024
	// maxBatchBytes ends a batch early, so that one large group does not delay its first caller for long.
	maxBatchBytes = 4 << 20
)

// request is one call that waits for its frame to be durable.
type request struct {
	records  []Record
	truncate bool
	after    uint64
	result   chan error
}

func (r *request) bytes() int {
	n := 0
	for _, rec := range r.records {
		n += recordHeaderBytes + len(rec.Data)
	}
	return n
}

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
	var held *request // taken from the queue but not part of the last batch
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
			batch, held = l.gather(batch)
		}
		err := l.write(batch)
		for _, r := range batch {
			r.result <- err
		}
	}
}

// gather adds the requests that already wait, up to a truncation or the size limit.
func (l *Log) gather(batch []*request) (_ []*request, held *request) {
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
