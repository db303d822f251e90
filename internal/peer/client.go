package peer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Client sends messages to other processes; it is safe for concurrent use.
type Client struct {
	self    string
	traffic *Traffic

	local *net.TCPAddr // source of connections, nil for the system's choice

	mu       sync.Mutex
	closed   bool
	sessions map[string]*session
}

// NewClient returns a client of the process named self.
func NewClient(self string) *Client {
	return &Client{self: self, traffic: &Traffic{}, sessions: map[string]*session{}}
}

// Bind makes connections start from an IP of this host, so that they carry its
// configured address on a host with several. Call it before the first message.
func (c *Client) Bind(ip net.IP) { c.local = &net.TCPAddr{IP: ip} }

// Traffic returns the byte counters of opened connections.
func (c *Client) Traffic() *Traffic { return c.traffic }

// Queued is the number of messages that wait to be sent.
func (c *Client) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.sessions {
		n += len(s.queue)
	}
	return n
}

// Close ends all connections; waiting calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	sessions := c.sessions
	c.sessions = map[string]*session{}
	c.mu.Unlock()
	for _, s := range sessions {
		s.fail(ErrClosed)
	}
}

// Call sends a request and waits for its reply. When ctx ends first, the
// remote handler's context is cancelled.
func Call[Req, Resp any](ctx context.Context, c *Client, addr, method string, req Req) (Resp, error) {
	var resp Resp
	body, err := cbor.Marshal(req)
	if err != nil {
		return resp, fmt.Errorf("encode %s request: %w", method, err)
	}
	reply, err := c.call(ctx, addr, method, body)
	if err != nil {
		return resp, err
	}
	if reply.Err != "" {
		return resp, &RemoteError{Method: method, Code: reply.Code, Text: reply.Err}
	}
	if err := cbor.Unmarshal(reply.Body, &resp); err != nil {
		return resp, fmt.Errorf("decode %s reply: %w", method, err)
	}
	return resp, nil
}

// Notify queues a one-way message. It never blocks and gives no guarantee of delivery.
func Notify[Req any](c *Client, addr, method string, req Req) error {
	body, err := cbor.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode %s message: %w", method, err)
	}
	s, err := c.session(addr)
	if err != nil {
		return err
	}
	return s.enqueue(&envelope{Kind: kindNotify, Method: method, From: c.self, Body: body})
}

func (c *Client) call(ctx context.Context, addr, method string, body []byte) (*envelope, error) {
	s, err := c.session(addr)
	if err != nil {
		return nil, err
	}
	return s.call(ctx, &envelope{Kind: kindRequest, Method: method, From: c.self, Body: body})
}

func (c *Client) session(addr string) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	s, ok := c.sessions[addr]
	if !ok {
		s = newSession(addr, c.local, c.traffic, func(s *session) { c.forget(s) })
		c.sessions[addr] = s
		go s.run()
	}
	return s, nil
}

// Disconnect ends the connection to an address, if there is one; the next message
// opens a new one. A connection that stays open without use tells nothing of a
// host that has lost power meanwhile.
func (c *Client) Disconnect(addr string) {
	c.mu.Lock()
	s := c.sessions[addr]
	c.mu.Unlock()
	if s != nil {
		s.fail(ErrConnectionLost)
	}
}

func (c *Client) forget(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[s.addr] == s {
		delete(c.sessions, s.addr)
	}
}
