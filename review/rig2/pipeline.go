package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of the case "pipeline".
const (
	// clients send pairs of requests at the same time, each on a connection of its own.
	clients, pairs = 40, 30
	// largeSize is the size of a download in bytes, the mean of the site's downloads.
	// A faulty server breaks off after brokenAfter bytes.
	largeSize, brokenAfter = 90_000, 75_000
	smallSize              = 400
	// libraries is the number of servers of downloads, of which faulty ones break off one
	// answer in brokenEvery.
	libraries, faulty, brokenEvery = 4, 2, 50
	bookingServers                 = 4
	largeWork                      = 50 * time.Millisecond
	smallWork                      = 400 * time.Millisecond
	answerLimit                    = 6 * time.Second
	// tolerated is the number of lost requests that the rule allows.
	tolerated = 3
)

// ran holds the ids of the requests that a server began to work on.
type ran struct {
	mu  sync.Mutex
	ids []string
}

func (l *ran) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, id)
}

func (l *ran) has(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.ids, id)
}

// startPipelineDeployment starts three core machines, one entry machine and two servers
// of each service. The servers of "library" are the faulty ones.
func startPipelineDeployment(r *rig) (*node, *ran, error) {
	for i, region := range []string{"munster", "leinster", "connacht"} {
		r.add(fmt.Sprintf("zone-%d", i+1), region, true)
	}
	entry := r.add("zone-1", "munster", false)
	if err := r.startAll(); err != nil {
		return nil, nil, err
	}
	routes := []route{{"r-tunebook", "download", "/tunebook/", "library"}, {"r-diary", "safe", "/diary/", "bookings"}}
	if err := r.submit(1, desiredState(1, routes), r.cores(), 10*time.Second); err != nil {
		return nil, nil, err
	}
	log := &ran{}
	bookings := func(s *server, w net.Conn, request *http.Request) bool {
		id := request.Header.Get("Request-Id")
		log.add(id)
		r.note("server: %s works on %s", s.id, id)
		time.Sleep(smallWork)
		_, err := w.Write(append(head(request, smallSize), body(smallSize)...))
		return err == nil
	}
	for i := range libraries {
		if _, err := r.startServer(fmt.Sprintf("i-library-%d", i), "library", "zone-1", 10+i, library(r, i < faulty)); err != nil {
			return nil, nil, err
		}
	}
	for i := range bookingServers {
		if _, err := r.startServer(fmt.Sprintf("i-bookings-%d", i), "bookings", "zone-1", 20+i, bookings); err != nil {
			return nil, nil, err
		}
	}
	return entry, log, awaitReady(entry, 10*time.Second)
}

// library returns the handler of a server of downloads. A faulty one breaks off some
// answers.
func library(r *rig, faulty bool) func(*server, net.Conn, *http.Request) bool {
	var answers atomic.Int64
	return func(s *server, w net.Conn, request *http.Request) bool {
		time.Sleep(largeWork)
		answer := append(head(request, largeSize), body(largeSize)...)
		if r.trouble && faulty && answers.Add(1)%brokenEvery == 0 {
			r.note("server: %s breaks off its answer to %s after %d of %d bytes", s.id, request.Header.Get("Request-Id"), brokenAfter, largeSize)
			_, _ = w.Write(answer[:len(answer)-largeSize+brokenAfter])
			return false
		}
		_, err := w.Write(answer)
		return err == nil
	}
}

// runPipeline sends pairs of a download and a safe request behind it, on connections that
// have served a request before. It counts the safe requests that a sound server worked on
// and whose connection the entry machine closed without an answer to them.
func runPipeline(r *rig) (broken bool, err error) {
	entry, log, err := startPipelineDeployment(r)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // longer than ContactS
	var group sync.WaitGroup
	var lost, failed atomic.Int64
	for i := range clients {
		group.Go(func() {
			n, err := pipelineClient(r, entry, log, i)
			lost.Add(int64(n))
			if err != nil {
				r.note("client %d could not go on: %v", i, err)
				failed.Add(1)
			}
		})
	}
	group.Wait()
	if failed.Load() > 0 {
		return false, errors.New("a client could not go on")
	}
	r.note("%d of %d requests behind a download were passed on to a sound server and not answered; the rule allows %d", lost.Load(), clients*pairs, tolerated)
	return lost.Load() > tolerated, nil
}

// pipelineClient sends the pairs of one client. It returns the number of lost requests.
func pipelineClient(r *rig, entry *node, log *ran, number int) (lost int, err error) {
	var c *client
	for i := range pairs {
		if c == nil {
			if c, err = openKept(entry, fmt.Sprintf("first-%d-%d", number, i)); err != nil {
				return lost, err
			}
		}
		large, small := fmt.Sprintf("large-%d-%d", number, i), fmt.Sprintf("small-%d-%d", number, i)
		r.note("client %d: sends %s and behind it %s", number, large, small)
		if err := c.send(get("/tunebook/x", large), get("/diary/x", small)); err != nil {
			return lost, err
		}
		if err := c.receivePair(r, large, small); err != nil {
			r.note("client %d: the connection ended without an answer to %s (%v)", number, small, err)
			c.close()
			c = nil
			if log.has(small) {
				lost++
			}
		}
	}
	if c != nil {
		c.close()
	}
	return lost, nil
}

// openKept opens a connection and has a first request answered on it.
func openKept(entry *node, id string) (*client, error) {
	c, err := connect(entry)
	if err != nil {
		return nil, err
	}
	if err := c.send(get("/diary/x", id)); err != nil {
		return nil, err
	}
	response, _, err := c.receive(answerLimit)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("the first request of the connection was answered %d", response.StatusCode)
	}
	return c, err
}

// receivePair reads the answers to a pair. The error says that the second one did not come.
func (c *client) receivePair(r *rig, large, small string) error {
	response, size, err := c.receive(answerLimit)
	if err != nil {
		return err
	}
	r.note("client: %s was answered %d with %d bytes", large, response.StatusCode, size)
	if response, size, err = c.receive(answerLimit); err != nil {
		return err
	}
	r.note("client: %s was answered %d with %d bytes", small, response.StatusCode, size)
	return nil
}
