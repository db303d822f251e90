package slots

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// waiter is a queued request.
type waiter struct {
	request Request
	until   time.Time // end of its wait
}

// queue holds the waiting requests of a service, first come first served
// within a class.
type queue struct {
	classes [traffic.Bulk + 1][]*waiter
}

func (q *queue) push(w *waiter) {
	q.classes[w.request.Class] = append(q.classes[w.request.Class], w)
}

// ahead returns the number of requests that are served before a new one of the class.
func (q *queue) ahead(class traffic.Class) int {
	n := 0
	for c := traffic.Short; c <= class; c++ {
		n += len(q.classes[c])
	}
	return n
}

func (q *queue) empty() bool { return q.ahead(traffic.Bulk) == 0 }

// filter calls keep for each waiter in the order of service and removes those
// for which it returns false.
func (q *queue) filter(keep func(*waiter) bool) {
	for class, waiters := range q.classes {
		kept := waiters[:0]
		for _, w := range waiters {
			if keep(w) {
				kept = append(kept, w)
			}
		}
		clear(waiters[len(kept):])
		q.classes[class] = kept
	}
}
