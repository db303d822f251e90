package gateway

import "sync"

// pipeline orders the requests of one connection of a caller, which are numbered from 1.
// An answer that breaks off while it is streamed ends the connection. Hence no request is
// passed on to a target while an answer before it is streamed, and no answer is streamed
// once a request behind it was passed on, unless it is too long to be held.
type pipeline struct {
	mu       sync.Mutex
	passedOn uint64          // highest number of a request that was passed on
	streamed map[uint64]bool // requests whose answers are streamed
}

func newPipeline() *pipeline { return &pipeline{streamed: map[uint64]bool{}} }

// tryPassOn records that a request is passed on to a target. It returns false if an
// answer before it is streamed.
func (p *pipeline) tryPassOn(number uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for earlier := range p.streamed {
		if earlier < number {
			return false
		}
	}
	p.passedOn = max(p.passedOn, number)
	return true
}

// tryStream records that the answer to a request is streamed. It returns false if a
// request behind it was passed on.
func (p *pipeline) tryStream(number uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passedOn > number {
		return false
	}
	p.streamed[number] = true
	return true
}

// stream records that the answer to a request is streamed although a request behind it
// may have been passed on.
func (p *pipeline) stream(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streamed[number] = true
}

// finish records that the answer to a request was sent or abandoned.
func (p *pipeline) finish(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.streamed, number)
}
