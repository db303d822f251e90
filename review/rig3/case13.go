package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { scripts["13"] = refusedButRun }

const (
	greyFor   = 8500 * time.Millisecond // largest dose of srv_grey in the site kll-limits
	greyShare = 0.55                    // of the requests of a grey server, as there
	bookers   = 6
)

// refusedButRun lets one of eight servers fail a part of the requests that it has run, with a
// status 503 that does not say that the request was not run. It reports whether a caller was
// told 503 for a request that isn't idempotent and has run.
func refusedButRun(r *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(3, 1)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	if err := d.startAll(desiredState(1, []route{{"book", "unsafe", "/book/", "desk", 1}}, "desk")); err != nil {
		return false, err
	}
	var servers []*server
	begun := time.Now()
	for i := range 8 {
		s, err := newServer(d, i, "desk", 3, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer s.stop()
		if i == 0 && trouble {
			s.respond = func(w http.ResponseWriter, r *http.Request) {
				if since := time.Since(begun) - 5*time.Second; since > 0 && since < greyFor && rand.Float64() < greyShare {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				_, _ = fmt.Fprintf(w, "done %s\n", r.Header.Get("Request-Id")) // a caller that has left gets no answer
			}
		}
		servers = append(servers, s)
	}
	time.Sleep(3 * time.Second) // the servers are known everywhere by then
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	answers := newAnswers()
	var wg sync.WaitGroup
	client := newCaller(bookers)
	for i := range bookers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				book(client, d.edges[0], fmt.Sprintf("/book/%d-%d", i, n), answers)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	answers.record(r)
	return countRefusedRuns(r, servers, answers), nil
}
