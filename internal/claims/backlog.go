package claims

import (
	"sync"
	"time"
)

// backlog queues the reports that one store has not acknowledged and retries
// them. Its goroutine runs only while the queue is not empty.
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

// run delivers one batch at a time until the queue is empty, with a pause after
// each batch with a failure.
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

// nextBatch removes and returns the next batch. If there is none it clears
// running, so that the goroutine ends and a later add starts a new one.
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

// deliver sends all reports of a batch and queues the failed ones again. It
// returns true if all were delivered.
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
