package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scripts["12"] = brokenExtras }

// Largest dose of garble with extra late answers in the site kll-limits. It comes three times.
const (
	garbleShare   = 0.6  // of the servers
	garbleAnswers = 0.03 // of the answers of each of them
	garbleFor     = 5 * time.Second
	garbleEvery   = 10 * time.Second
)

// brokenExtras lets some servers send, after a few of their answers, a part of the same answer
// again, where the next one is expected. It reports whether a request that isn't idempotent ran
// twice, or ran although its caller was told that it has not and never will.
func brokenExtras(r *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(3, 4)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	if err := d.startAll(desiredState(1, []route{{"book", "unsafe", "/book/", "desk", 2}}, "desk")); err != nil {
		return false, err
	}
	var servers []*server
	const count = 12
	begun := time.Now()
	for i := range count {
		s, err := newServer(d, i, "desk", 3, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer s.stop()
		s.queue = 2 // nothing is sent to it before the entry hosts know it
		if trouble && float64(i) < garbleShare*count-0.5 {
			s.onGarbled = func(extra []byte, id string) {
				r.write("server %s sent %q before its answer to %s", s.id, extra, id)
			}
			s.garbles = func() bool {
				since := time.Since(begun) - 5*time.Second
				return since > 0 && since%garbleEvery < garbleFor && rand.Float64() < garbleAnswers
			}
		}
		servers = append(servers, s)
	}
	time.Sleep(3 * time.Second) // the servers are known everywhere by then
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	answers := newAnswers()
	var wg sync.WaitGroup
	const callers = 60
	client := newCaller(callers)
	for i := range callers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				book(client, d.edges[i%len(d.edges)], fmt.Sprintf("/book/%d-%d", i, n), answers)
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	answers.record(r)
	refused := countRefusedRuns(r, servers, answers)
	return countRepeats(r, servers) || refused, nil
}

// countRepeats reports whether a request ran more than once.
func countRepeats(r *recorder, servers []*server) bool {
	runs := map[string]int{}
	twice := 0
	for _, s := range servers {
		for _, x := range s.executed() {
			if runs[x.id]++; runs[x.id] == 2 {
				r.note("request %s ran more than once", x.id)
				twice++
			}
		}
	}
	r.note("requests that ran more than once: %d", twice)
	return twice > 0
}
