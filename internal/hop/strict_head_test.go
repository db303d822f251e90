package hop

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// Kinds of answers, with a place for the field of the id.
var answerKinds = map[string]string{
	"refusal":          "HTTP/1.1 503 Service Unavailable\r\n%sNot-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	"success":          "HTTP/1.1 200 OK\r\n%sContent-Length: 9\r\n\r\nbody of a",
	"chunked success":  "HTTP/1.1 200 OK\r\nX: y\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n",
	"without a body":   "HTTP/1.1 204 No Content\r\n%sX: y\r\n\r\n",
	"interim":          "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok",
	"error of caller":  "HTTP/1.1 404 Not: Found\r\nX: y\r\n%sContent-Length: 3\r\n\r\nno\n",
	"error of target":  "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n%s\r\noops",
	"without a length": "HTTP/1.0 200 OK\r\n%s\r\nto the end",
}

// answerOf returns an answer of a kind, with an id unless that is empty.
func answerOf(kind, id string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf(answerKinds[kind], id)
}

// played is the result of a request, with the body of its response.
type played struct {
	Result
	body string
	err  error // of reading the body
}

// play sends requests "1" and "2" on a connection whose other side answers them with the two
// texts and then closes it, and returns the result of the last one.
func play(first, second string) played {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	u := newConn(Endpoint{}, near)
	codec := refusingCodec{}
	u.codec, u.heads = codec, HeadChecker{Single: codec.AnswerHeaders()}
	go u.readLoop()
	defer u.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }() // the requests
	var last played
	for i, text := range []string{first, second} {
		e, ok := u.Begin(&http.Request{Method: "POST"}, fmt.Sprint(i+1))
		if !ok {
			return played{Result: Result{Err: ErrConnectionEnded}}
		}
		e.MarkSent()
		go func() {
			_, _ = io.WriteString(far, text)
			if i == 1 {
				_ = far.Close()
			}
		}()
		last = played{Result: <-e.Results()}
		if last.Err == nil {
			body, err := io.ReadAll(last.Response.Body)
			last.body, last.err = string(body), err
		}
		if last.Err != nil || i == 1 {
			e.Abort()
			break
		}
		NewPool(codec, nil, 0).release(e)
	}
	return last
}

// release ends an exchange and leaves its connection free.
func (*Pool) release(e *Exchange) { e.end(true) }

// Guards against the start of an earlier answer that stands before the next one and is read
// as one with it: the caller got a refusal, a success or a status that was not the answer to
// its request (review case 12).
func TestStartOfAnEarlierAnswerBeforeTheNext(t *testing.T) {
	for earlier := range answerKinds {
		for _, earlierID := range []string{"1", ""} {
			whole := answerOf(earlier, earlierID)
			for next := range answerKinds {
				for _, nextID := range []string{"2", ""} {
					text := answerOf(next, nextID)
					sound := play(answerOf("success", "1"), text)
					for length := 1; length <= len(whole); length++ {
						got := play(answerOf("success", "1"), whole[:length]+text)
						if got.Err == nil && got.err == nil && !sameAnswer(got, sound) {
							t.Errorf("%q before %q was read as status %d, not run %v, body %q", whole[:length], text, got.Response.StatusCode, got.Answer.NotExecuted, got.body)
						}
					}
				}
			}
		}
	}
}

func sameAnswer(a, b played) bool {
	return a.Err == nil && b.Err == nil && a.Response.StatusCode == b.Response.StatusCode &&
		a.Answer == b.Answer && a.body == b.body
}

// Guards against the opposite: sound answers of each kind that are refused.
func TestSoundAnswersAreRead(t *testing.T) {
	statuses := map[string]int{"refusal": 503, "success": 200, "chunked success": 200, "without a body": 204, "interim": 200,
		"error of caller": 404, "error of target": 500, "without a length": 200}
	for kind, status := range statuses {
		got := play(answerOf("success", "1"), answerOf(kind, "2"))
		if got.Err != nil || got.err != nil || got.Response.StatusCode != status || got.Answer.ID != "2" {
			t.Errorf("%s: %+v, body error %v", kind, got.Result, got.err)
		}
	}
}

// Guards against single faults in a head that net/http's reader takes.
func TestHeadsWithOneFault(t *testing.T) {
	const rest = "\r\nId: 2\r\nContent-Length: 0\r\n\r\n"
	checker := HeadChecker{Single: refusingCodec{}.AnswerHeaders()}
	for _, head := range []string{
		"HTTP/1.1  200 OK" + rest, "HTTP/1.1\t200 OK" + rest, "HTTP/1.1 200\tOK" + rest, "HTTP/1.1 20 OK" + rest, "HTTP/1.1 2000 OK" + rest,
		"HTTP/1.1 2x0 OK" + rest, "HTTP/1.1 200OK" + rest, "HTTP/1.1" + rest, "HTTP/1.1 " + rest, "http/1.1 200 OK" + rest, "HTTP/11 200 OK" + rest,
		"HTTP/2.0 200 OK" + rest, "HTTP/1.x 200 OK" + rest, " HTTP/1.1 200 OK" + rest, "XHTTP/1.1 200 OK" + rest, "\r\nHTTP/1.1 200 OK" + rest, "",
		"HTTP/1.1 200 OK\x00" + rest, "HTTP/1.1 200 O\rK" + rest, "HTTP/1.1 200 OK\nX: y" + rest, "HTTP/1.1 200 HTTP/1.1 200 OK" + rest, "HTTP/1.1 200 OK HTTP/1.0 503 X" + rest,
		"HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK" + rest, "HTTP/1.1 200 OK\r\nX: HTTP/1.1 200 OK" + rest, "HTTP/1.1 200 OK\r\nX: y\r\n HTTP/1.1 200 OK" + rest,
		"HTTP/1.1 200 OK\r\n X: y" + rest, "HTTP/1.1 200 OK\r\nX : y" + rest, "HTTP/1.1 200 OK\r\n: y" + rest, "HTTP/1.1 200 OK\r\nX" + rest,
		"HTTP/1.1 200 OK\r\nX: a\x01b" + rest, "HTTP/1.1 200 OK\r\nX: a\x7fb" + rest, "HTTP/1.1 200 OK\r\nX: a\r" + rest,
		"HTTP/1.1 200 OK\r\nId: 2" + rest, "HTTP/1.1 200 OK\r\nid: 3" + rest, "HTTP/1.1 200 OK\r\nContent-Length: 0" + rest, "HTTP/1.1 200 OK\r\nContent-Length: 1" + rest,
		"HTTP/1.1 503 X\r\nNot-Run: 1\r\nNot-Run: 1" + rest, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked" + rest,
		"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: identity\r\n\r\n", "HTTP/1.0 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: +1\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1, 1\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length:\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9999999999999999999\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n 2\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 2\r\n 3\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nId: 2\r\nContent-Length: 3\r\n\r\n", "HTTP/1.1 204 No Content\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 103 X\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\n", "HTTP/1.1 200 OK\nId: 2\n\n",
	} {
		if err := checker.Check([]byte(head)); !errors.Is(err, ErrMalformedHead) {
			t.Errorf("%q: error %v, want ErrMalformedHead", head, err)
		}
	}
	for _, head := range []string{
		"HTTP/1.1 200 OK" + rest, "HTTP/1.1 200" + rest, "HTTP/1.1 200 " + rest, "HTTP/1.0 404 Not Found: \xe4" + rest, "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy" + rest,
		"HTTP/1.1 200 OK\r\nX:\r\nX: \ty \r\nX: y\r\n folded" + rest, "HTTP/1.1 204 No Content" + rest, "HTTP/1.1 304 X\r\nId: 2\r\nContent-Length: 7\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\ntransfer-encoding: Chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
	} {
		if err := checker.Check([]byte(head)); err != nil {
			t.Errorf("%q was refused: %v", head, err)
		}
	}
}

// Guards against a control byte that is accepted at one place of a head.
func TestControlBytesAnywhereInAHead(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nNot-Run: 1\r\nX: a b\r\nContent-Length: 0\r\n\r\n"
	for at := range len(head) - 1 {
		for _, c := range "\x00\x01\x08\n\x0b\r\x1f\x7f" {
			if err := (&HeadChecker{}).Check([]byte(head[:at] + string(c) + head[at:])); err == nil {
				t.Errorf("byte %q is accepted before %q", c, head[at:])
			}
		}
	}
}

// Guards against an unsound head whose error does not tell an operator what arrived.
func TestErrorOfAnUnsoundHead(t *testing.T) {
	got := play(answerOf("success", "1"), "HTTP/1.1 503 ServHTTP/1.1 200 OK\r\nId: 2\r\n"+strings.Repeat("X: "+strings.Repeat("x", 100)+"\r\n", 5)+"\r\n")
	var head *HeadError
	if !errors.As(got.Err, &head) || !errors.Is(got.Err, ErrMalformedHead) {
		t.Fatalf("error %v, want a HeadError", got.Err)
	}
	if head.Answers != 1 || len(head.Start) != headErrorBytes || !strings.HasPrefix(string(head.Start), "HTTP/1.1 503 ServHTTP/1.1 200 OK") {
		t.Errorf("error %+v, want one answer before and the first bytes", head)
	}
}

// Guards against a head that is read otherwise if it arrives in parts, or if it is longer than
// the buffer of the connection.
func TestHeadsInParts(t *testing.T) {
	long := "HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("X: "+strings.Repeat("x", 997)+"\r\n", 40) + "Content-Length: 2\r\n\r\nok"
	for _, text := range []string{long, answerOf("success", "1"), answerOf("interim", "1"), "HTTP/1.1 200 OK\nId: 1\n\n", "garbage\n"} {
		for name, reader := range map[string]io.Reader{"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text)), "halves": iotest.HalfReader(strings.NewReader(text))} {
			limiter := NewHeadLimiter(reader)
			u := &Conn{limiter: limiter, reader: bufio.NewReaderSize(limiter, readBuffer)}
			r, err := u.readHead(&http.Request{Method: "GET"})
			if sound := strings.HasPrefix(text, "HTTP/1.1") && strings.Contains(text, "\r\n"); sound != (err == nil) {
				t.Errorf("%.20q in %s: error %v", text, name, err)
			}
			if err != nil || r.StatusCode != 200 {
				continue
			}
			if body, err := io.ReadAll(r.Body); err != nil || len(body) != int(r.ContentLength) {
				t.Errorf("%.20q in %s: body %q, error %v", text, name, body, err)
			}
		}
	}
}

// FuzzHead guards against a head that passes the check although net/http reads another status
// from it, or a field twice.
func FuzzHead(f *testing.F) {
	for kind := range answerKinds {
		text := answerOf(kind, "1")
		for length := 0; length <= len(text); length += 7 {
			f.Add([]byte(text[:length] + answerOf("success", "2")))
		}
	}
	checker := HeadChecker{Single: refusingCodec{}.AnswerHeaders()}
	f.Fuzz(func(t *testing.T, data []byte) {
		end := bytes.Index(data, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		head := data[:end+4]
		if checker.Check(head) != nil {
			return
		}
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
		if err != nil {
			return // net/http refuses more, as an unknown way to fold
		}
		if want := fmt.Sprintf("HTTP/1.%d %03d", r.ProtoMinor, r.StatusCode); !bytes.HasPrefix(head, []byte(want)) {
			t.Errorf("%q was read as %s", head, want)
		}
		if err := errors.Join(CheckStatus(r), CheckFields(r.Header)); err != nil {
			t.Errorf("%q: %v", head, err)
		}
		for _, name := range append(checker.Single, "Content-Length") {
			if len(r.Header.Values(name)) > 1 {
				t.Errorf("%q has %s more than once", head, name)
			}
		}
	})
}
