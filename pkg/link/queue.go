package link

import (
	"slices"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Request is a queued request to send or receive bytes.
type Request struct {
	class     traffic.Class
	bytes     int
	remaining float64 // bytes that no tokens have been taken for yet
}

// queue holds the requests of one class in order of arrival.
type queue struct{ requests []*Request }

func (q *queue) push(r *Request) { q.requests = append(q.requests, r) }

// head returns the oldest request, or nil if the queue is empty.
func (q *queue) head() *Request {
	if len(q.requests) == 0 {
		return nil
	}
	return q.requests[0]
}

func (q *queue) pop() {
	q.requests[0] = nil
	q.requests = q.requests[1:]
}

func (q *queue) remove(r *Request) {
	if i := slices.Index(q.requests, r); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
	}
}

// bytes returns the sum of the remaining bytes of all requests.
func (q *queue) bytes() float64 {
	sum := 0.0
	for _, r := range q.requests {
		sum += r.remaining
	}
	return sum
}
