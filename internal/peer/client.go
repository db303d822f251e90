package peer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Client sends messages to other processes over one connection per address. It is
// safe for concurrent use.
type Client struct {
	self    string // name of this process, sent with each message
	traffic *Traffic

	local *net.TCPAddr // source address of connections, nil to let the system choose

	mu       sync.Mutex
	closed   bool
	sessions map[string]*session // by address
}

// NewClient returns a client of the process named self.
func NewClient(self string) *Client {
	return &Client{self: self, traffic: &Traffic{}, sessions: map[string]*session{}}
}

// Bind sets the source IP of connections, so that a host with several addresses
// uses its configured one. Call it before the first message.
func (c *Client) Bind(ip net.IP) { c.local = &net.TCPAddr{IP: ip} }

// Traffic returns the byte counters of the client's connections.
func (c *Client) Traffic() *Traffic { return c.traffic }

// Queued returns the number of messages that wait to be sent.
func (c *Client) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.sessions {
		n += len(s.queue)
	}
	return n
}

// Close closes all connections. Calls in flight and later ones fail with
// ErrClosed.
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

// Call sends a request to addr and waits for its reply. If ctx ends first, Call
// returns its error and the context of the remote handler is cancelled. An error
// that the handler returned is a *RemoteError.
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
	if err := decoding.Unmarshal(reply.Body, &resp); err != nil {
		return resp, fmt.Errorf("decode %s reply: %w", method, err)
	}
	return resp, nil
}

// Notify queues a one-way message to addr. It does not block, and delivery is not
// guaranteed.
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

// session returns the session of an address and starts one if there is none.
func (c *Client) session(addr string) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	s, ok := c.sessions[addr]
	if !ok {
		s = newSession(addr, c.local, c.traffic, func(s *session) { c.removeSession(s) })
		c.sessions[addr] = s
		go s.run()
	}
	return s, nil
}

// Disconnect closes the connection to an address, if there is one, and fails the
// calls on it. The next message opens a new connection. An idle connection stays
// open when the remote host loses power, so only a new one shows that the host is
// up.
func (c *Client) Disconnect(addr string) {
	c.mu.Lock()
	s := c.sessions[addr]
	c.mu.Unlock()
	if s != nil {
		s.fail(ErrConnectionLost)
	}
}

// removeSession forgets an ended session, unless a new one has replaced it.
func (c *Client) removeSession(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[s.addr] == s {
		delete(c.sessions, s.addr)
	}
}
