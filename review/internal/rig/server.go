package rig

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

// Server is a stand-in for a server: it announces itself, runs requests and leaves as
// the pages say.
type Server struct {
	ID, Service, Address, Zone string
	Born                       int64 // Unix time of the start in milliseconds
	Work                       time.Duration
	// Answer, if set, writes the response of a request that was run.
	Answer func(w http.ResponseWriter, r *http.Request)

	rig      *Rig
	server   *http.Server
	sequence atomic.Uint64
	running  atomic.Int64

	mu    sync.Mutex
	state string
	runs  []Run
	node  int // control host that gets the next announcement
	ended chan struct{}
}

// Run is a request that a server ran.
type Run struct {
	ID, Server, Service string
	At                  time.Time
}

// callTimeout is how long a caller of control waits for a response.
const callTimeout = time.Second

// slots is the number of requests that a server processes concurrently.
const slots = 8

// NewServer starts a server on the loopback address with the last part host.
func (r *Rig) NewServer(id, service, zone string, host int, work time.Duration) *Server {
	return r.startServer(&Server{ID: id, Service: service, Zone: zone, Address: fmt.Sprintf("%s.%d:%d", r.subnet, host, serverPort), Work: work})
}

func (r *Rig) startServer(s *Server) *Server {
	s.rig, s.Born, s.state, s.ended = r, time.Now().UnixMilli(), "ready", make(chan struct{})
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		r.Cannot("server %s: %v", s.ID, err)
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	go s.announce()
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	r.Record.Line("server %s of %s starts at %s, born %d", s.ID, s.Service, s.Address, s.Born)
	return s
}

// Restart starts a new incarnation of a server that has ended, at its address and under
// the id, whose first announcement goes to a control host of the caller's choice.
func (s *Server) Restart(id string, node int) *Server {
	return s.rig.startServer(&Server{ID: id, Service: s.Service, Zone: s.Zone, Address: s.Address, Work: s.Work, node: node})
}

// serve answers health probes and runs requests.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Instance-Id", s.ID)
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if r.URL.Path == "/health" {
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if n := s.running.Add(1); n > slots {
		s.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	s.mu.Lock()
	s.runs = append(s.runs, Run{ID: id, Server: s.ID, Service: s.Service, At: time.Now()})
	s.mu.Unlock()
	s.rig.Record.Line("server %s (%s, born %d) runs %s", s.ID, s.Service, s.Born, id)
	time.Sleep(s.Work)
	w.Header().Set("Response-Signature", "s-"+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), slots))
	w.Header().Set("Keep-Alive", "timeout=10")
	if s.Answer != nil {
		s.Answer(w, r)
		return
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

// Runs returns the requests that the server has run so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// announce sends an announcement each heartbeat interval until the server ends.
func (s *Server) announce() {
	for {
		s.beat()
		select {
		case <-s.ended:
			return
		case <-time.After(HeartbeatInterval):
		}
	}
}

// coldStart is how long a server is cold after its start.
const coldStart = 3 * time.Second

// coldRemaining returns how much longer the server is cold, in seconds.
func (s *Server) coldRemaining() float64 {
	return max(0, (coldStart - time.Since(time.UnixMilli(s.Born))).Seconds())
}

// beat sends one announcement, to the next control host after each failure.
func (s *Server) beat() {
	s.mu.Lock()
	body, err := json.Marshal(map[string]any{"Service": s.Service, "Address": s.Address, "Zone": s.Zone, "Version": "v1", "Slots": slots,
		"State": s.state, "ColdRemainingS": s.coldRemaining(), "Sequence": s.sequence.Add(1), "born": s.Born})
	node := s.node
	s.mu.Unlock()
	if err != nil {
		s.rig.Cannot("announcement: %v", err)
	}
	for range s.rig.Cores {
		select {
		case <-s.ended:
			return
		default:
		}
		status := s.rig.Call(s.rig.Cores[node%len(s.rig.Cores)], "PUT", "/v1/instances/"+s.ID, body)
		if status/100 == 2 {
			break
		}
		node++
	}
	s.mu.Lock()
	s.node = node
	s.mu.Unlock()
}

// Leave sends the departure of the server to a control host and returns the status, 0 if
// there was none in time. The server goes on serving, and ends with Exit.
func (s *Server) Leave(to *Host) int {
	s.rig.Record.Line("server %s (born %d) tells %s that it leaves", s.ID, s.Born, to.Name)
	status := s.rig.Call(to, "DELETE", "/v1/instances/"+s.ID, nil)
	s.rig.Record.Line("server %s (born %d) gets %d from %s", s.ID, s.Born, status, to.Name)
	return status
}

// Silence ends the announcements; the server goes on serving.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != "silent" {
		s.state = "silent"
		close(s.ended)
	}
}

// Exit ends the server at once.
func (s *Server) Exit() {
	s.Silence()
	_ = s.server.Close()
}

// Crash ends the server at once, without a word.
func (s *Server) Crash() {
	s.rig.Record.Line("server %s (born %d) crashes", s.ID, s.Born)
	s.Exit()
}

// Call sends a call to a control host on a new connection and returns the status, 0 if
// there is no response within callTimeout. The connection is closed then.
func (r *Rig) Call(to *Host, method, path string, body []byte) int {
	status, _ := r.CallBody(to, method, path, body)
	return status
}

// CallBody is Call that returns the body of the response as well.
func (r *Rig) CallBody(to *Host, method, path string, body []byte) (int, string) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+to.Control+path, bytes.NewReader(body))
	if err != nil {
		r.Cannot("call: %v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(text)
}
