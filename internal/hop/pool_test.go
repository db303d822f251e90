package hop

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// plainCodec handles only the id header.
type plainCodec struct{}

func (plainCodec) Call(h http.Header) Call                    { return Call{ID: h.Get("Id")} }
func (plainCodec) Forward(http.Header, time.Duration, string) {}
func (plainCodec) Answer(_ int, h http.Header) Answer         { return Answer{ID: h.Get("Id")} }
func (plainCodec) AnswerHeaders() []string                    { return []string{"Id", "Not-Run"} }
func (plainCodec) Refuse(http.Header, time.Duration)          {}
func (plainCodec) Echo(h http.Header, id string)              { h.Set("Id", id) }

// listen starts a target that responds to every request and returns its address.
func listen(t *testing.T) string {
	t.Helper()
	return nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	}).Address()
}

// roundTrip opens a connection, sends a request on it and returns its exchange once the
// response has arrived.
func roundTrip(t *testing.T, p *Pool, to Endpoint) *Exchange {
	t.Helper()
	u, err := p.Dial(to, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	e, ok := u.Begin(&http.Request{Method: "GET"}, "1")
	if !ok {
		t.Fatal("a new connection reports that it has ended")
	}
	fmt.Fprint(e, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
	e.MarkSent()
	if r := <-e.Results(); r.Err != nil {
		t.Fatal(r.Err)
	}
	return e
}

// Unlimited idle connections would exhaust the file descriptors of the process. The
// limit works only if the count matches the connections that are kept.
func TestPoolKeepsABoundedNumber(t *testing.T) {
	now := time.Duration(0)
	p := NewPool(plainCodec{}, func() time.Duration { return now }, 3)
	ends := []Endpoint{{Address: listen(t)}, {Address: listen(t)}}
	for i := range 5 {
		p.Release(roundTrip(t, p, ends[i%2]))
	}
	if p.Size() != 3 {
		t.Errorf("%d idle connections after five requests, want 3", p.Size())
	}
	if u := p.Get(ends[0], true); u == nil || p.Size() != 2 {
		t.Errorf("Get returned connection %v with %d left in the pool, want one with 2 left", u, p.Size())
	}
	now = time.Minute
	for _, to := range ends {
		if u := p.Get(to, true); u != nil {
			t.Error("Get returned a connection that was idle for a minute, want nil")
		}
	}
	if p.Size() != 0 {
		t.Errorf("Size() = %d after all connections expired, want 0", p.Size())
	}
}

// Once a host stops responding, requests on other idle connections to it would be
// lost. Forget must drop all of them and keep the count correct.
func TestPoolForgetsAnEndpoint(t *testing.T) {
	p := NewPool(plainCodec{}, func() time.Duration { return 0 }, 10)
	gone, other := Endpoint{Address: listen(t)}, Endpoint{Address: listen(t)}
	kept := []*Exchange{roundTrip(t, p, gone), roundTrip(t, p, gone), roundTrip(t, p, other)}
	for _, e := range kept {
		p.Release(e)
	}
	p.Forget(gone)
	if p.Size() != 1 || p.Get(gone, true) != nil || p.Get(other, true) != kept[2].conn || p.Size() != 0 {
		t.Errorf("Forget dropped the wrong connections or the count is wrong: %d idle at the end", p.Size())
	}
}

// A request on a connection to the previous incarnation of a process would be lost.
func TestPoolTellsStartsApart(t *testing.T) {
	p := NewPool(plainCodec{}, func() time.Duration { return 0 }, 10)
	first := Endpoint{Address: listen(t), Start: 1}
	second := Endpoint{Address: first.Address, Start: 2}
	e := roundTrip(t, p, first)
	p.Release(e)
	if p.Get(second, true) != nil {
		t.Error("Get for the second start returned a connection to the first")
	}
	if p.Get(first, true) != e.conn {
		t.Error("Get for the first start did not return its idle connection")
	}
}
