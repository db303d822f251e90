package hop

import (
	"errors"
	"strings"
	"testing"
)

// Guards against an answer in whose head the name of a field holds a blank or a control
// byte: other readers may see another length or another field there, and it reached callers
// on other systems (issue 35).
func TestOddFieldsMakeNoAnswer(t *testing.T) {
	for _, line := range []string{"X Y: z", "X : z", " X: z", "\tX: z", "X\t: z", "X\x00Y: z", "X\x01: z", "\x7fX: z", "X\r: z", "X\xe4: z",
		": z", "no colon", "Content-Length : 2", " Content-Length: 2", "Content Length: 2", "Transfer-Encoding : chunked",
		"X: a\x00b", "X: a\rb", "X: a\x01b", "X: a\x7fb", "X(: z"} {
		for _, place := range []string{line + "\r\nId: %s\r\nContent-Length: 2\r\n", "Id: %s\r\n" + line + "\r\nContent-Length: 2\r\n", "Id: %s\r\nContent-Length: 2\r\n" + line + "\r\n"} {
			r := answerTo(t, "HTTP/1.1 200 OK\r\n"+place+"\r\nok")
			if r.Err == nil {
				t.Errorf("a head with %q was taken for that of an answer with %v", line, r.Response.Header)
			}
		}
	}
	for _, line := range []string{"X: z", "X:z", "X:\tz ", "X:", "X-1_~!#$%%&'*+.^`|: z", "X: a\xe4b", "X: a\tb", "X: a\r\n folded"} {
		if r := answerTo(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"); r.Err != nil {
			t.Errorf("a head with %q was refused: %v", line, r.Err)
		}
	}
}

// Guards against odd fields that are missed since the head arrives in parts, is long, or
// stands behind an informational one.
func TestOddFieldsAreFoundAnywhere(t *testing.T) {
	filler := strings.Repeat("Filler: "+strings.Repeat("f", 200)+"\r\n", 50) // longer than the buffer of the reader
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + filler + "X Y: z\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\n" + filler + "\r\nHTTP/1.1 200 OK\r\nId: %s\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\nId: %s\nX Y: z\nContent-Length: 2\n\nok",
	} {
		if r := answerTo(t, head); !errors.Is(r.Err, ErrMalformedHead) {
			t.Errorf("a head of %d bytes with an odd field: error %v, want ErrMalformedHead", len(head), r.Err)
		}
	}
	if r := answerTo(t, "HTTP/1.1 200 OK\r\n"+filler+"Id: %s\r\nContent-Length: 6\r\n\r\nX Y: z"); r.Err != nil {
		t.Errorf("a body that looks like an odd field was refused: %v", r.Err)
	}
}
