package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// rawTarget serves connections without the HTTP server of net/http. answer writes
// the response to request n of a connection, counted from 0, and reports whether
// to keep the connection open.
func rawTarget(t testing.TB, answer func(n int, conn net.Conn, r *http.Request) bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, answer)
		}
	}()
	return l.Addr().String()
}

func serveRaw(conn net.Conn, answer func(int, net.Conn, *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !answer(n, conn, r) {
			return
		}
	}
}

// rawOK is an answer function for rawTarget that sends a short response with status 200.
func rawOK(_ int, conn net.Conn, _ *http.Request) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}
