package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 8 << 10
	// maxBody bounds the body of a request; entry hosts send larger ones to the
	// targets themselves.
	maxBody = 256 << 10
)

// session is a connection of an entry host. One request is at work on it at a time.
type session struct {
	server *Server
	conn   net.Conn
	host   string // IP of the entry host
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
	defer func() { _ = s.conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	for {
		request, err := http.ReadRequest(s.reader)
		if err != nil {
			return // the entry host opens another connection
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

// exchange handles a request. It reports whether the connection may go on,
// which it does once the next request arrives.
func (s *session) exchange(ctx context.Context, request *http.Request, body []byte) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := make(chan error, 1)
	go func() {
		_, err := s.reader.Peek(1)
		if err != nil {
			cancel() // the entry host has given the request up
		}
		next <- err
	}()
	x := newExchange(s, request, body)
	return x.run(ctx) && <-next == nil
}
