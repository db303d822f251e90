package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// sent is one attempt of a caller and its answer.
type sent struct {
	id, method, path string
	status           int // 0 if there was no complete answer
	signed           bool
	answer           string
	after            time.Duration
	whole            time.Duration // when the whole body had been handed to the connection, 0 if it never was
}

// watchedBody notes when its last byte was read.
type watchedBody struct {
	reader *bytes.Reader
	begun  time.Time
	whole  atomic.Int64 // time since begun, in nanoseconds
}

func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.reader.Len() == 0 {
		b.whole.CompareAndSwap(0, int64(time.Since(b.begun)))
	}
	return n, err
}

// requestNumber numbers the requests of all callers.
var requestNumber atomic.Int64

// newCaller returns an HTTP client that keeps its connections.
func newCaller(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConns: connections, MaxIdleConnsPerHost: connections, IdleConnTimeout: 8 * time.Second, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// send sends one request to an edge and waits for its answer until the limit.
func send(c *http.Client, edge *host, method, path string, body []byte, id string, limit time.Duration) sent {
	s := sent{id: id, method: method, path: path}
	watched := &watchedBody{reader: bytes.NewReader(body)}
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", edge.ip, frontPort, path), watched)
	if err != nil {
		return s
	}
	r.ContentLength = int64(len(body))
	if len(body) == 0 {
		r.Body = http.NoBody
	}
	r.Host = hostName
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	begun := time.Now()
	watched.begun = begun
	timer := *c
	timer.Timeout = limit
	answer, err := timer.Do(r)
	s.after = time.Since(begun)
	s.whole = time.Duration(watched.whole.Load())
	if err != nil {
		return s
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return s
	}
	s.status, s.answer, s.signed = answer.StatusCode, string(text), answer.Header.Get("Response-Signature") != ""
	return s
}

// idLength is the number of characters of a request id.
const idLength = 16

// newID returns a request id that no other request has.
func newID() string { return fmt.Sprintf("%016x", 1<<60+requestNumber.Add(1)) }
