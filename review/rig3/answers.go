package main

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// answers collects the answers to callers. It is safe for concurrent use.
type answers struct {
	mu   sync.Mutex
	list []sent
}

func newAnswers() *answers { return &answers{} }

func (a *answers) add(s sent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, s)
}

// of describes the answer to a request.
func (a *answers) of(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.list {
		if s.id == id {
			return fmt.Sprintf("%d after %d ms", s.status, s.after.Milliseconds())
		}
	}
	return "nothing"
}

// record writes all answers to the record, and their number by status to standard output too.
func (a *answers) record(r *recorder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := map[string]int{}
	for _, s := range a.list {
		counts[fmt.Sprintf("%s %d", s.method, s.status)]++
		r.write("caller sent %s %s %s and was answered %d after %d ms", s.method, s.path, s.id, s.status, s.after.Milliseconds())
	}
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		r.note("answers to %s: %d", key, counts[key])
	}
}
