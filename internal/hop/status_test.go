package hop

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// answerTo sends a request to a target that answers with text, in which %s stands for the
// id of the request, and returns the result.
func answerTo(t *testing.T, text string) Result {
	t.Helper()
	target := nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, r *http.Request) {
		fmt.Fprintf(conn, text, r.Header.Get("Id"))
		_ = conn.(*net.TCPConn).CloseWrite()
	})
	u, err := NewPool(plainCodec{}, func() time.Duration { return 0 }, 1).Dial(Endpoint{Address: target.Address()}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	e, ok := u.Begin(&http.Request{Method: "GET"}, "1")
	if !ok {
		t.Fatal("the connection takes no request")
	}
	if _, err := io.WriteString(e, "GET / HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return <-e.Results()
}

// Guards against an answer with a status that does not exist: it reached the caller on
// other systems, and here its body was read as the next answer (issue 35).
func TestStatusThatDoesNotExistIsNoAnswer(t *testing.T) {
	const inside = "HTTP/1.1 200 OK\r\nId: %[1]s\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range []string{"HTTP/1.1 000 Zero", "HTTP/1.1 000", "HTTP/1.1 099 Low", "HTTP/1.1 +20 Sign", "HTTP/1.1 -01 Sign",
		"HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK"} {
		body := fmt.Sprintf("\r\nId: %%[1]s\r\nContent-Length: %d\r\n\r\n", len(inside)-len("%[1]s")+1)
		if r := answerTo(t, line+body+inside); r.Err == nil {
			t.Errorf("%q was taken for an answer with status %d and id %q", line, r.Response.StatusCode, r.Answer.ID)
		}
	}
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 599 X", "HTTP/1.1 404 Not Found: \xe4"} {
		if r := answerTo(t, line+"\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"); r.Err != nil {
			t.Errorf("%q was refused: %v", line, r.Err)
		}
	}
}
