package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
)

// maxExtra limits the additional bytes after an answer.
const maxExtra = 60

// garbledConn is a connection of a faulty server. After some of its answers it sends the first
// bytes of the same answer again, at the point where the next answer is expected.
type garbledConn struct {
	net.Conn

	mu    sync.Mutex
	last  []byte // what was written last
	extra []byte // additional bytes that are still to be sent
}

// Write keeps what is written, which for the short answers of these servers is a whole answer.
func (c *garbledConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.last = append(c.last[:0], p...)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// prepare keeps the first bytes of the last answer, up to a random one, to be sent before the next.
func (c *garbledConn) prepare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.last) > 1 {
		c.extra = append([]byte{}, c.last[:1+rand.IntN(min(len(c.last)-1, maxExtra))]...)
	}
}

// sendExtra sends the additional bytes, if there are any, and returns them.
func (c *garbledConn) sendExtra() []byte {
	c.mu.Lock()
	extra := c.extra
	c.extra = nil
	c.mu.Unlock()
	if extra != nil {
		_, _ = c.Conn.Write(extra) // a failed write ends the connection, as the next one shows
	}
	return extra
}

// garbledListener makes the connections of a faulty server.
type garbledListener struct{ net.Listener }

func (l garbledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &garbledConn{Conn: c}, nil
}

type connKey struct{}

// withConn lets handlers find the connection of their request.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, nil if its server is not faulty.
func connOf(r *http.Request) *garbledConn {
	c, _ := r.Context().Value(connKey{}).(*garbledConn)
	return c
}
