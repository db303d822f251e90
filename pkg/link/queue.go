package link

import (
	"slices"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Request is a wish to pass bytes.
type Request struct {
	class  traffic.Class
	bytes  int
	unpaid float64
}

// queue holds the requests of one class in order.
type queue struct{ requests []*Request }

func (q *queue) push(r *Request) { q.requests = append(q.requests, r) }

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

func (q *queue) bytes() float64 {
	sum := 0.0
	for _, r := range q.requests {
		sum += r.unpaid
	}
	return sum
}
