package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// record holds what the targets saw of one request.
type record struct {
	runs   int
	target string    // target of the last run
	last   time.Time // start of the last run
}

// ledger records the requests that all targets ran, by request ID.
type ledger struct {
	mu   sync.Mutex
	runs map[string]*record
}

func (l *ledger) recordRun(id, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.runs[id]
	if !ok {
		r = &record{}
		l.runs[id] = r
	}
	r.runs++
	r.target, r.last = target, time.Now()
}

// lookUp returns the record of a request, the zero record if no target ran it.
func (l *ledger) lookUp(id string) record {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.runs[id]; ok {
		return *r
	}
	return record{}
}

// target is a target of the soak test. It announces the address of its relay, so that
// requests reach it through the relay's faults.
type target struct {
	deployment *deployment
	name       string
	zone       string
	relay      *relay
	listener   net.Listener
	server     *http.Server
	born       int64 // Unix time of the start in milliseconds

	mu           sync.Mutex
	sequence     int
	state        string
	leftAt       time.Time // when its departure was acknowledged
	gone         bool
	lateRequests int // requests that arrived later than drainBound after the departure
}

func newTarget(d *deployment, name, zone string) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{deployment: d, name: name, zone: zone, listener: l, born: time.Now().UnixMilli(), state: "ready"}
	if t.relay, err = newRelay(l.Addr().String(), d.random.Uint64()); err != nil {
		return nil, err
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(l) }()
	go t.announce()
	return t, nil
}

// serve runs a request and responds with its ID and body. It refuses requests that
// are meant for another instance with 421.
func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != t.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	if !t.leftAt.IsZero() && time.Since(t.leftAt) > drainBound && t.deployment.faultFreeFor(drainBound) {
		t.lateRequests++
	}
	t.mu.Unlock()
	t.deployment.ledger.recordRun(id, t.name)
	time.Sleep(time.Duration(5+len(id)%20) * time.Millisecond)
	w.Header().Set("Response-Signature", "s-"+id)
	w.Header().Set("Server-Load", "1,0,4")
	_, _ = fmt.Fprintf(w, "%s|%s", id, body) // the caller compares the whole body and so detects a cut response
}

// announce sends heartbeats until the target is stopped.
func (t *target) announce() {
	for i := 0; ; i++ {
		t.mu.Lock()
		t.sequence++
		beat := map[string]any{"Service": "work", "Address": t.relay.address(), "Zone": t.zone, "Version": "v1", "Slots": 4,
			"State": t.state, "ColdRemainingS": 0, "Sequence": t.sequence, "born": t.born}
		gone, leaving := t.gone, t.state == "draining"
		t.mu.Unlock()
		if gone {
			return
		}
		body, err := json.Marshal(beat)
		if err != nil {
			panic(err)
		}
		if t.deployment.controlStatus("PUT", "/v1/instances/"+t.name, body, i) == http.StatusOK && leaving {
			t.mu.Lock()
			if t.leftAt.IsZero() {
				t.leftAt = time.Now()
			}
			t.mu.Unlock()
		}
		time.Sleep(heartbeat)
	}
}

// startDraining lets the next heartbeats announce that the target is leaving.
func (t *target) startDraining() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = "draining"
}

// stop ends the target and its relay at once, without an announcement.
func (t *target) stop() {
	t.mu.Lock()
	t.gone = true
	t.mu.Unlock()
	_ = t.server.Close()
	t.relay.close()
}
