package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at a server.
type run struct {
	id, server, path string
	bytes            int
	owner            string // the id that the body names as its request, if all of it does
}

// fillBody fills a body so that it names its request throughout.
func fillBody(body []byte, id string) {
	for n := copy(body, id); n < len(body); n *= 2 {
		copy(body[n:], body[:n])
	}
}

// ownerOf returns the id of the request to which a body belongs, or how it is mixed.
func ownerOf(body []byte) string {
	if len(body) < idLength {
		return ""
	}
	if !bytes.Equal(body[idLength:], body[:len(body)-idLength]) {
		return "several requests"
	}
	return string(body[:idLength])
}

// readBody reads the body of a request. It returns an error if the body does not arrive whole.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// server is a stand-in for a server of a service. It follows the users' pages.
type server struct {
	deployment *deployment
	id         string
	service    string
	address    string
	zone       string
	slots      int
	born       int64
	work       time.Duration
	queue      int // requests that wait for a slot, at most
	// respond answers a request that was run; nil answers 200.
	respond func(w http.ResponseWriter, r *http.Request)
	// readsLate is how long the server works on a request before it reads its body.
	readsLate time.Duration
	// onRun is told of each run; nil if nobody is.
	onRun func(run)
	// garbles says whether an answer is followed by additional bytes; nil if none is. onGarbled is
	// told of these bytes and of the request before whose answer they are sent.
	garbles   func() bool
	onGarbled func(extra []byte, id string)

	listener net.Listener
	http     *http.Server
	sequence atomic.Int64
	acked    atomic.Int64 // heartbeats that were acknowledged
	quit     chan struct{}

	atWork  chan struct{} // holds a value for each slot in use
	mu      sync.Mutex
	running int // requests at work or in the queue
	runs    []run
	begun   map[string]time.Time // start of the work, by request, of a server that reads late
}

// newServer starts a server at an address of the deployment, and its heartbeats.
func newServer(d *deployment, number int, service string, slots int, work time.Duration) (*server, error) {
	s := &server{deployment: d, id: fmt.Sprintf("i-%s-%d", service, number), service: service, slots: slots, work: work,
		address: fmt.Sprintf("%s:%d", d.ip(100+number), serverPort), zone: fmt.Sprintf("z%d", number%d.zones),
		born: time.Now().UnixMilli(), quit: make(chan struct{}), atWork: make(chan struct{}, slots)}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second, ConnContext: withConn}
	go func() { _ = s.http.Serve(garbledListener{listener}) }() // ends when the server is stopped
	go s.announce()
	return s, nil
}

// announce sends heartbeats until the server ends. One without an acknowledgement is sent to the
// next core.
func (s *server) announce() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		body, err := json.Marshal(map[string]any{"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots,
			"State": "ready", "ColdRemainingS": 0, "Sequence": s.sequence.Add(1), "born": s.born})
		if err != nil {
			panic(err) // the value holds nothing that JSON cannot express
		}
		if s.deployment.order("PUT", "/v1/instances/"+s.id, body) {
			s.acked.Add(1)
		}
		select {
		case <-s.quit:
			return
		case <-ticker.C:
		}
	}
}

// ServeHTTP runs a request, or rejects it if it is meant for another server or the queue is full.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if s.garbles != nil {
		defer s.garble(w, connOf(r), id)()
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.readsLate > 0 {
		s.begin(id)
		time.Sleep(s.readsLate)
	}
	body, err := readBody(r)
	if err != nil {
		return // the request did not arrive whole
	}
	x := run{id: id, server: s.id, path: r.URL.RequestURI(), bytes: len(body), owner: ownerOf(body)}
	s.mu.Lock()
	full := s.running >= s.slots+s.queue
	if !full {
		s.running++
		s.runs = append(s.runs, x)
	}
	load := fmt.Sprintf("%d,%d,%d", min(s.running, s.slots), max(s.running-s.slots, 0), s.slots)
	s.mu.Unlock()
	w.Header().Set("Server-Load", load)
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.onRun != nil {
		s.onRun(x)
	}
	s.atWork <- struct{}{}
	time.Sleep(s.work)
	<-s.atWork
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	w.Header().Set("Response-Signature", "sig."+id)
	if s.respond != nil {
		s.respond(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "done %s\n", id) // a caller that has left gets no answer
}

// garble sends the additional bytes that an earlier answer on the connection has left, and returns
// what follows the answer to the request itself.
func (s *server) garble(w http.ResponseWriter, c *garbledConn, id string) (after func()) {
	if extra := c.sendExtra(); extra != nil {
		s.onGarbled(extra, id)
	}
	return func() {
		if s.garbles() && http.NewResponseController(w).Flush() == nil {
			c.prepare()
		}
	}
}

// begin records that the server begins to work on a request whose body it has not read yet.
func (s *server) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun == nil {
		s.begun = map[string]time.Time{}
	}
	s.begun[id] = time.Now()
}

// executed returns the runs so far.
func (s *server) executed() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.runs...)
}

// stop ends the server without notice.
func (s *server) stop() {
	close(s.quit)
	_ = s.http.Close()
}
