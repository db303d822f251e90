package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
)

const (
	readBuffer  = 4 << 10 // bytes
	writeBuffer = 8 << 10 // bytes
	// maxBody limits the body that comes with the head of a request, in bytes. Entry
	// hosts stream larger ones.
	maxBody = 256 << 10
)

// session is a connection of an entry host. It handles one request at a time.
type session struct {
	server *Server
	conn   net.Conn
	host   string // IP address of the entry host
	reader *bufio.Reader
	writer *bufio.Writer
}

func newSession(s *Server, conn net.Conn) *session {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		host = conn.RemoteAddr().String()
	}
	return &session{server: s, conn: conn, host: host,
		reader: bufio.NewReaderSize(conn, readBuffer), writer: bufio.NewWriterSize(conn, writeBuffer)}
}

// serve handles requests until the entry host closes the connection or ctx ends.
func (s *session) serve(ctx context.Context) {
	defer func() {
		if value := recover(); value != nil {
			s.server.count("relay.panics")
			s.server.config.Log.Error("panic", "during", "relayed request", "entry", s.host, "value", value, "stack", string(debug.Stack()))
		}
		_ = s.conn.Close()
	}()
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	for {
		request, err := http.ReadRequest(s.reader)
		if err != nil {
			return // the entry host opens another connection
		}
		if request.Header.Get(HeaderStream) != "" {
			if !s.stream(ctx, request) {
				return
			}
			continue
		}
		body, err := io.ReadAll(io.LimitReader(request.Body, maxBody+1))
		if err != nil || len(body) > maxBody {
			return
		}
		if !s.exchange(ctx, request, body) {
			return
		}
	}
}

// exchange handles a request and waits until the next one arrives. It reports whether
// the connection can be used for that one. If the entry host closes the connection
// meanwhile, the request is cancelled.
func (s *session) exchange(ctx context.Context, request *http.Request, body []byte) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := make(chan error, 1)
	go func() {
		_, err := s.reader.Peek(1)
		if err != nil {
			cancel() // the entry host has abandoned the request
		}
		next <- err
	}()
	x := newExchange(s, request, body)
	return x.run(ctx) && <-next == nil
}

// stream handles a request whose body is streamed. It reports whether the connection can be
// used for the next one, as after a failure before the body was asked for.
func (s *session) stream(ctx context.Context, request *http.Request) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x := newExchange(s, request, nil)
	x.upload = uploadOf(s, request, cancel)
	return x.run(ctx) && !x.upload.continued
}
