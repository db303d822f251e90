package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// handler decodes the body of a message, processes it and returns the reply. from
// is the name of the sending process.
type handler func(ctx context.Context, from string, body []byte) (any, error)

// Server accepts connections from other processes and dispatches their messages to
// registered handlers.
type Server struct {
	self    string
	traffic *Traffic

	mu       sync.RWMutex
	handlers map[string]handler
}

// NewServer returns a server of the process named self.
func NewServer(self string) *Server {
	return &Server{self: self, traffic: &Traffic{}, handlers: map[string]handler{}}
}

// Traffic returns the byte counters of accepted connections.
func (s *Server) Traffic() *Traffic { return s.traffic }

// Register sets the handler of a method. Handlers run concurrently, also for
// messages of one connection. from is the name of the sending process.
func Register[Req, Resp any](s *Server, method string, h func(ctx context.Context, from string, req Req) (Resp, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = func(ctx context.Context, from string, body []byte) (any, error) {
		var req Req
		if err := decoding.Unmarshal(body, &req); err != nil {
			return nil, fmt.Errorf("decode %s request: %w", method, err)
		}
		return h(ctx, from, req)
	}
}

// Serve accepts connections on l until ctx ends, which also cancels the contexts of
// the handlers.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions()})
	return srv.Serve(ctx, &countedListener{Listener: l, traffic: s.traffic})
}

// HandleRPC implements drpc.Handler. It serves one stream until it ends.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != streamRPC {
		return fmt.Errorf("unknown rpc %q", rpc)
	}
	c := &serverConn{server: s, stream: stream, running: map[uint64]context.CancelFunc{}}
	return c.receive()
}

// serverConn is the server side of one stream.
type serverConn struct {
	server *Server
	stream drpc.Stream

	sendMu sync.Mutex // held while a reply is sent

	mu      sync.Mutex
	running map[uint64]context.CancelFunc // by call identifier
}

func (c *serverConn) receive() error {
	for {
		var env envelope
		if err := c.stream.MsgRecv(&env, cborEncoding{}); err != nil {
			return err
		}
		switch env.Kind {
		case kindRequest:
			ctx, cancel := context.WithCancel(c.stream.Context())
			c.track(env.ID, cancel)
			go c.answer(ctx, env)
		case kindNotify:
			go func() { _, _ = c.dispatch(c.stream.Context(), env) }()
		case kindCancel:
			c.cancel(env.ID)
		}
	}
}

// answer runs the handler of a request and sends the reply.
func (c *serverConn) answer(ctx context.Context, env envelope) {
	defer c.cancel(env.ID)
	reply := envelope{ID: env.ID, Kind: kindReply}
	result, err := c.dispatch(ctx, env)
	if err == nil {
		reply.Body, err = cbor.Marshal(result)
	}
	if err != nil {
		reply.Err, reply.Code = err.Error(), codeOf(err)
	}
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	// A failed send ends the stream, and the client reports ErrConnectionLost.
	_ = c.stream.MsgSend(&reply, cborEncoding{})
}

func (c *serverConn) dispatch(ctx context.Context, env envelope) (any, error) {
	c.server.mu.RLock()
	h, ok := c.server.handlers[env.Method]
	c.server.mu.RUnlock()
	if !ok {
		return nil, fmt.Errorf("method %q is not served by %s", env.Method, c.server.self)
	}
	return h(ctx, env.From, env.Body)
}

func (c *serverConn) track(id uint64, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[id] = cancel
}

func (c *serverConn) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.running[id]; ok {
		cancel()
		delete(c.running, id)
	}
}

// codeOf returns the machine-readable code of a handler error, or an empty string.
func codeOf(err error) string {
	var coder Coder
	if errors.As(err, &coder) {
		return coder.Code()
	}
	return ""
}
