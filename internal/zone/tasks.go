package zone

import "sync"

// tasks tracks background goroutines. Unlike with sync.WaitGroup, new ones may
// start from zero while Wait is running.
type tasks struct {
	mu      sync.Mutex
	running int
	idle    *sync.Cond
}

func newTasks() *tasks {
	t := &tasks{}
	t.idle = sync.NewCond(&t.mu)
	return t
}

// Go runs f in a goroutine.
func (t *tasks) Go(f func()) {
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	go func() {
		defer t.done()
		f()
	}()
}

func (t *tasks) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running--; t.running == 0 {
		t.idle.Broadcast()
	}
}

// Wait blocks until no goroutine is running.
func (t *tasks) Wait() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.running > 0 {
		t.idle.Wait()
	}
}
