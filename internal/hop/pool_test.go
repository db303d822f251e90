package hop

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// plainCodec reads no headers but the id.
type plainCodec struct{}

func (plainCodec) Call(h http.Header) Call                    { return Call{ID: h.Get("Id")} }
func (plainCodec) Forward(http.Header, time.Duration, string) {}
func (plainCodec) Answer(_ int, h http.Header) Answer         { return Answer{ID: h.Get("Id")} }
func (plainCodec) Refuse(http.Header, time.Duration)          {}
func (plainCodec) Echo(h http.Header, id string)              { h.Set("Id", id) }

// listen starts a target that answers every request.
func listen(t *testing.T) string {
	t.Helper()
	return nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	}).Address()
}

// roundTrip sends a request on a new connection and returns it after the answer.
func roundTrip(t *testing.T, p *Pool, to Endpoint) *Conn {
	t.Helper()
	u, err := p.Dial(to, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	responses, ok := u.Expect(&http.Request{Method: "GET"}, "1")
	if !ok {
		t.Fatal("a new connection cannot be used")
	}
	fmt.Fprint(u, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
	if r := <-responses; r.Err != nil {
		t.Fatal(r.Err)
	}
	return u
}

// Guards against kept connections that use up the descriptors of a process, and
// against a count that drifts from what is kept.
func TestPoolKeepsABoundedNumber(t *testing.T) {
	now := time.Duration(0)
	p := NewPool(plainCodec{}, func() time.Duration { return now }, 3)
	ends := []Endpoint{{Address: listen(t)}, {Address: listen(t)}}
	for i := range 5 {
		p.Put(roundTrip(t, p, ends[i%2]))
	}
	if p.Size() != 3 {
		t.Errorf("%d connections are kept, want 3", p.Size())
	}
	if u := p.Get(ends[0], true); u == nil || p.Size() != 2 {
		t.Errorf("connection %v, %d stay", u, p.Size())
	}
	now = time.Minute
	for _, to := range ends {
		if u := p.Get(to, true); u != nil {
			t.Error("a connection that was idle for a minute is used")
		}
	}
	if p.Size() != 0 {
		t.Errorf("%d connections are counted, none is kept", p.Size())
	}
}

// Guards against requests that are lost on other kept connections to a host that
// has gone silent, and against a count that drifts.
func TestPoolForgetsAnEndpoint(t *testing.T) {
	p := NewPool(plainCodec{}, func() time.Duration { return 0 }, 10)
	gone, other := Endpoint{Address: listen(t)}, Endpoint{Address: listen(t)}
	kept := []*Conn{roundTrip(t, p, gone), roundTrip(t, p, gone), roundTrip(t, p, other)}
	for _, u := range kept {
		p.Put(u)
	}
	p.Forget(gone)
	if p.Size() != 1 || p.Get(gone, true) != nil || p.Get(other, true) != kept[2] || p.Size() != 0 {
		t.Errorf("%d connections are kept", p.Size())
	}
}

// Guards against requests that are lost on connections to an earlier start of a process.
func TestPoolTellsStartsApart(t *testing.T) {
	p := NewPool(plainCodec{}, func() time.Duration { return 0 }, 10)
	first := Endpoint{Address: listen(t), Start: 1}
	second := Endpoint{Address: first.Address, Start: 2}
	u := roundTrip(t, p, first)
	p.Put(u)
	if p.Get(second, true) != nil {
		t.Error("a connection to the first start is used for the second")
	}
	if p.Get(first, true) != u {
		t.Error("a connection to the first start is not used for it")
	}
}
