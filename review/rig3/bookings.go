package main

import (
	"net/http"
	"strings"
	"time"
)

// timeLimit is the time that a caller has for a booking.
const timeLimit = 1500 * time.Millisecond

// book sends a booking, and once more under a new id if it is told that it has not run.
func book(c *http.Client, edge *host, path string, answers *answers) {
	first := send(c, edge, "POST", path, []byte("booking"), newID(), timeLimit)
	answers.add(first)
	if first.status == http.StatusServiceUnavailable || first.status == http.StatusTooManyRequests {
		time.Sleep(100 * time.Millisecond)
		answers.add(send(c, edge, "POST", path, []byte("booking"), newID(), timeLimit-first.after-100*time.Millisecond))
	}
}

// countRefusedRuns writes all runs to the record. It reports whether a request ran whose caller
// was told that it has not and never will.
func countRefusedRuns(r *recorder, servers []*server, answers *answers) bool {
	runs, bookings := map[string]string{}, map[string]int{}
	for _, s := range servers {
		for _, x := range s.executed() {
			r.write("server %s ran %s %s", s.id, x.path, x.id)
			runs[x.id] = s.id
			bookings[x.path]++
		}
	}
	wrong := 0
	for _, a := range answers.list {
		promise := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout || a.status == http.StatusMisdirectedRequest
		if by, ran := runs[a.id]; ran && promise {
			wrong++
			r.note("request %s (%s) was answered %d, server %s had run it", a.id, a.path, a.status, by)
		}
	}
	twice := 0
	for path, n := range bookings {
		if n > 1 && strings.HasPrefix(path, "/book/") {
			twice++
		}
	}
	r.note("requests answered as not run that had run: %d; bookings made twice by callers that believed it: %d", wrong, twice)
	return wrong > 0
}
