package claims

import (
	"sync"
	"time"
)

// backlog holds the reports for one store that did not acknowledge them. It
// has a goroutine only while it holds any.
type backlog struct {
	reporter *reporter

	mu      sync.Mutex
	queue   []report
	bytes   int
	running bool
}

func (b *backlog) add(rep report) {
	dropped := 0
	b.mu.Lock()
	b.queue = append(b.queue, rep)
	b.bytes += rep.size
	for b.bytes > backlogBytes {
		b.bytes -= b.queue[0].size
		b.queue = b.queue[1:]
		dropped++
	}
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	if dropped > 0 {
		b.reporter.settle(dropped, dropped)
	}
}

// run tries a batch at a time until the queue is empty, with a pause after each failed batch.
func (b *backlog) run() {
	for {
		time.Sleep(backlogPause)
		for {
			batch := b.nextBatch()
			if len(batch) == 0 {
				return
			}
			if !b.deliver(batch) {
				break
			}
		}
	}
}

// nextBatch removes the next batch, or ends the goroutine's turn if there is none.
func (b *backlog) nextBatch() []report {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.queue), backlogConcurrency)
	batch := b.queue[:n:n]
	b.queue = b.queue[n:]
	for _, rep := range batch {
		b.bytes -= rep.size
	}
	b.running = n > 0
	return batch
}

// deliver tries all reports of a batch and puts the failed ones back.
func (b *backlog) deliver(batch []report) bool {
	var wg sync.WaitGroup
	ok := make([]bool, len(batch))
	for i, rep := range batch {
		wg.Go(func() { ok[i] = rep.try() })
	}
	wg.Wait()
	done := 0
	for i, rep := range batch {
		if ok[i] {
			done++
		} else {
			b.add(rep)
		}
	}
	if done > 0 {
		b.reporter.settle(done, 0)
	}
	return done == len(batch)
}
