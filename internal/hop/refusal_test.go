package hop

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// Messages of a target. refusal and success take the id of a request.
const (
	refusal     = "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	bareRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	success     = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n"
	bareSuccess = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// refusingCodec handles the id header and a header that marks refusals.
type refusingCodec struct{ plainCodec }

func (refusingCodec) Answer(_ int, h http.Header) Answer {
	return Answer{ID: h.Get("Id"), NotExecuted: h.Get("Not-Run") != ""}
}

// A faulty target may repeat an earlier refusal on a connection that is in use again.
// Taken for the answer to the request in flight, it would tell the caller that a
// request which runs was not run, and the request would run a second time elsewhere.
func TestRefusalsOfOtherRequests(t *testing.T) {
	for _, test := range []struct {
		name     string
		ids      []string // of the requests, sent one after the other
		messages []string // what the target writes for each of them
		notRun   bool     // the last request counts as refused
		err      error    // of the last request
	}{
		{name: "refusal with the id of the request", ids: []string{"1", "2"},
			messages: []string{fmt.Sprintf(success, "1"), fmt.Sprintf(refusal, "2")}, notRun: true},
		{name: "copy with the id of an earlier request", ids: []string{"1", "2"},
			messages: []string{fmt.Sprintf(refusal, "1"), fmt.Sprintf(refusal, "1") + fmt.Sprintf(success, "2")}},
		{name: "copy without an id", ids: []string{"1", "2"},
			messages: []string{bareRefusal, bareRefusal + fmt.Sprintf(success, "2")}},
		{name: "copy without an id after an answer with one", ids: []string{"1", "2"},
			messages: []string{fmt.Sprintf(success, "1"), bareRefusal + fmt.Sprintf(refusal, "2")}, notRun: true},
		{name: "copy without an id and no answer", ids: []string{"1", "2"},
			messages: []string{bareRefusal, strings.Repeat(bareRefusal, maxSkippedResponses)}, err: ErrWrongAnswer},
		{name: "refusal without an id on a new connection", ids: []string{"1"},
			messages: []string{bareRefusal}, notRun: true},
		{name: "success without an id on a new connection", ids: []string{"1"},
			messages: []string{bareSuccess + fmt.Sprintf(success, "1")}},
		{name: "same id on the connection that refused it", ids: []string{"1", "1"},
			messages: []string{fmt.Sprintf(refusal, "1"), fmt.Sprintf(refusal, "1")}, err: errNotSent},
		{name: "same id after another request on the connection that refused it", ids: []string{"1", "2", "1"},
			messages: []string{fmt.Sprintf(refusal, "1"), fmt.Sprintf(success, "2"), fmt.Sprintf(refusal, "1")}, err: errNotSent},
		{name: "request without an id on a used connection", ids: []string{"1", ""},
			messages: []string{fmt.Sprintf(success, "1"), fmt.Sprintf(refusal, "1")}, err: errNotSent},
		{name: "answer with an id to a request without one", ids: []string{""},
			messages: []string{fmt.Sprintf(refusal, "1") + bareSuccess}},
		{name: "answer to a request without an id on a new connection", ids: []string{""}, messages: []string{bareSuccess}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := lastResult(t, test.ids, test.messages)
			if !errors.Is(r.Err, test.err) {
				t.Fatalf("the last request ended with error %v, want %v", r.Err, test.err)
			}
			if r.Err == nil && r.Answer.NotExecuted != test.notRun {
				t.Errorf("the last request counts as not run: %v, want %v", r.Answer.NotExecuted, test.notRun)
			}
		})
	}
}

// The ids of refused requests are kept with their connection. Without a limit a target
// that refuses everything would make them grow.
func TestConnectionEndsAfterManyRefusals(t *testing.T) {
	var ids, messages []string
	for i := range maxRefusals + 1 {
		ids = append(ids, fmt.Sprint(i))
		messages = append(messages, fmt.Sprintf(refusal, ids[i]))
	}
	if r := lastResult(t, ids[:maxRefusals], messages); r.Err != nil {
		t.Errorf("request %d on the connection ended with error %v", maxRefusals, r.Err)
	}
	if r := lastResult(t, ids, messages); !errors.Is(r.Err, errNotSent) {
		t.Errorf("request %d on the connection ended with error %v, want %v", maxRefusals+1, r.Err, errNotSent)
	}
}

// resultTimeout is how long a test waits for the result of a request.
const resultTimeout = 2 * time.Second

// errNoResult stands for a request without a result.
var errNoResult = errors.New("the request has no result")

// errNotSent stands for a request that the connection did not accept.
var errNotSent = errors.New("the request was not accepted")

// lastResult sends requests on one connection to a target that answers each with its
// message, and returns the result of the last one.
func lastResult(t *testing.T, ids, messages []string) (last Result) {
	t.Helper()
	next := 0
	target := nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, messages[next]) // a failed write shows up as a failed request
		next++
	})
	p := NewPool(refusingCodec{}, func() time.Duration { return 0 }, 2*maxRefusals)
	u, err := p.Dial(Endpoint{Address: target.Address()}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	for i, id := range ids {
		e, ok := u.Begin(&http.Request{Method: "GET"}, id)
		if !ok {
			return Result{Err: errNotSent}
		}
		w := bufio.NewWriter(e)
		fmt.Fprintf(w, "GET / HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", id)
		if err := w.Flush(); err != nil {
			t.Fatal(err)
		}
		e.MarkSent()
		select {
		case last = <-e.Results():
		case <-time.After(resultTimeout):
			return Result{Err: errNoResult}
		}
		if last.Err == nil && i < len(ids)-1 {
			p.Release(e)
		}
	}
	return last
}
