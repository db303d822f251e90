package hop

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// BenchmarkAnswer measures a request and its answer on a kept connection.
func BenchmarkAnswer(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go serveBenchmark(l)
	p := NewPool(plainCodec{}, func() time.Duration { return 0 }, 1)
	to := Endpoint{Address: l.Addr().String()}
	b.ReportAllocs()
	for range b.N {
		u := p.Get(to, true)
		if u == nil {
			if u, err = p.Dial(to, time.Second); err != nil {
				b.Fatal(err)
			}
		}
		e, ok := u.Begin(&http.Request{Method: "GET"}, "1")
		if !ok {
			b.Fatal("the connection takes no request")
		}
		if _, err := io.WriteString(e, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"); err != nil {
			b.Fatal(err)
		}
		e.MarkSent()
		r := <-e.Results()
		if r.Err != nil {
			b.Fatal(r.Err)
		}
		if _, err := io.Copy(io.Discard, r.Response.Body); err != nil {
			b.Fatal(err)
		}
		p.Release(e)
	}
}

// serveBenchmark answers each read on a connection with a typical answer.
func serveBenchmark(l net.Listener) {
	body := make([]byte, 600)
	text := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad-Of-Target: 1,0,4\r\n"+
		"Keep-Alive: timeout=10\r\nContent-Type: application/octet-stream\r\nDate: Mon, 07 Dec 2026 18:00:00 GMT\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			buffer := make([]byte, 4<<10)
			for {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
				if _, err := conn.Write(text); err != nil {
					return
				}
			}
		}()
	}
}
