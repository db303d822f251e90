package hop

import (
	"bytes"
	"fmt"
	"strings"
)

// HeadChecker checks the heads of responses before anything else reads them, as net/http's
// reader takes more than RFC 9112 allows: bytes of an earlier answer that stand before a
// head are read as a part of it.
type HeadChecker struct {
	// Single are the names of the fields, besides those of the framing, that may occur once
	// since they decide what an answer is.
	Single []string
}

// framing are the fields that decide where a response ends.
var framing = []string{"Content-Length", "Transfer-Encoding"}

// statusLine holds what the status line says.
type statusLine struct {
	minor  byte // of the version HTTP/1.x, as a digit
	status int
}

// Check returns an error that wraps ErrMalformedHead unless head, which ends with its empty
// line, is sound:
//
//   - the status line has the three parts of RFC 9112 section 4, with one blank between
//     them, and a status that exists;
//   - each line ends with CRLF and holds no other control bytes but tabs in values;
//   - each field has a name that is a token, and a colon right behind it (section 5);
//   - neither the reason phrase nor a value holds another status line;
//   - the framing fields agree with each other, the version and the status (section 6);
//   - framing fields and those of Single occur once, on one line.
func (c *HeadChecker) Check(head []byte) error {
	line, rest, err := cutLine(head)
	if err != nil {
		return err
	}
	status, err := parseStatusLine(line)
	if err != nil {
		return err
	}
	var f fields
	for {
		if line, rest, err = cutLine(rest); err != nil {
			return err
		}
		if len(line) == 0 {
			return f.checkFraming(status)
		}
		if err := f.add(line, c.Single); err != nil {
			return err
		}
	}
}

// cutLine returns the first line without its CRLF, and what follows.
func cutLine(b []byte) (line, rest []byte, err error) {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		return nil, nil, malformed("unfinished line", b)
	}
	if end == 0 || b[end-1] != '\r' {
		return nil, nil, malformed("line without CRLF", b[:end])
	}
	return b[:end-1], b[end+1:], nil
}

// malformed returns an error that quotes the start of a line.
func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s %.60q", ErrMalformedHead, what, line)
}

const versionPrefix = "HTTP/1."

// parseStatusLine parses a status line. The blank before an empty reason phrase may be
// missing, as it is in the answers of many servers.
func parseStatusLine(line []byte) (statusLine, error) {
	if !isStatusLineStart(line) {
		return statusLine{}, malformed("status line", line)
	}
	code := line[statusLineStart-3 : statusLineStart]
	s := statusLine{minor: line[len(versionPrefix)], status: int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')}
	reason := line[statusLineStart:]
	if len(reason) > 0 && reason[0] != ' ' {
		return statusLine{}, malformed("status line", line)
	}
	if err := checkStatusCode(s.status); err != nil {
		return statusLine{}, err
	}
	return s, checkText(reason)
}

// statusLineStart is the length of a version, a blank and three digits.
const statusLineStart = len(versionPrefix) + 5

// isStatusLineStart reports whether b begins with a version, a blank and three digits.
func isStatusLineStart(b []byte) bool {
	if len(b) < statusLineStart || string(b[:len(versionPrefix)]) != versionPrefix {
		return false
	}
	b = b[len(versionPrefix):statusLineStart]
	return isDigit(b[0]) && b[1] == ' ' && isDigit(b[2]) && isDigit(b[3]) && isDigit(b[4])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// checkText returns an error if a reason phrase or the value of a field holds a control byte
// or a status line.
func checkText(text []byte) error {
	for _, c := range text {
		if !isTextByte[c] {
			return malformed("control byte in", text)
		}
	}
	for rest := text; len(rest) >= statusLineStart; {
		at := bytes.Index(rest, []byte(versionPrefix))
		if at < 0 {
			return nil
		}
		if isStatusLineStart(rest[at:]) {
			return malformed("status line in", text)
		}
		rest = rest[at+1:]
	}
	return nil
}

// isTextByte tells which bytes a reason phrase or the value of a field may hold.
var isTextByte = func() (table [256]bool) {
	for c := range 256 {
		table[c] = c == '\t' || c >= ' ' && c != 0x7f
	}
	return table
}()

// fields collects what the fields of a head say about its framing.
type fields struct {
	seen     uint64 // bit i: the field i of framing and then of the single ones
	previous bool   // the field before may be continued on the next line
	length   []byte // value of Content-Length, nil if there is none
	chunked  bool   // there is a Transfer-Encoding
}

// add checks a line and records its field.
func (f *fields) add(line []byte, single []string) error {
	if line[0] == ' ' || line[0] == '\t' {
		if !f.previous {
			return malformed("folded line", line)
		}
		return checkText(line)
	}
	colon := bytes.IndexByte(line, ':')
	if colon < 0 || !isTokenBytes(line[:colon]) {
		return malformed("field", line)
	}
	name, value := line[:colon], bytes.Trim(line[colon+1:], " \t")
	if err := checkText(value); err != nil {
		return err
	}
	i := find(name, framing)
	if i < 0 {
		if i = find(name, single); i >= 0 {
			i += len(framing)
		}
	}
	f.previous = i < 0 // a field that decides something stands on one line
	if i < 0 {
		return nil
	}
	if f.seen&(1<<i) != 0 {
		return malformed("second field", line)
	}
	f.seen |= 1 << i
	return f.frame(i, value)
}

// frame records a framing field.
func (f *fields) frame(i int, value []byte) error {
	if i >= len(framing) {
		return nil
	}
	if framing[i] == "Content-Length" {
		f.length = value
		return checkLength(value)
	}
	f.chunked = true
	if !strings.EqualFold(string(value), "chunked") {
		return malformed("transfer coding", value)
	}
	return nil
}

// maxLengthDigits keeps every length within an int64.
const maxLengthDigits = 18

func checkLength(value []byte) error {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return malformed("content length", value)
	}
	for _, c := range value {
		if !isDigit(c) {
			return malformed("content length", value)
		}
	}
	return nil
}

// checkFraming returns an error if the framing fields do not agree with each other, the
// version or the status.
func (f *fields) checkFraming(s statusLine) error {
	bodyless := s.status < 200 || s.status == 204
	switch {
	case f.chunked && f.length != nil:
		return fmt.Errorf("%w: both Content-Length and Transfer-Encoding", ErrMalformedHead)
	case f.chunked && s.minor == '0':
		return fmt.Errorf("%w: Transfer-Encoding under HTTP/1.0", ErrMalformedHead)
	case bodyless && f.chunked, bodyless && len(bytes.Trim(f.length, "0")) > 0:
		return fmt.Errorf("%w: a body with status %d", ErrMalformedHead, s.status)
	}
	return nil
}

// find returns the index of a name in a list, regardless of case, -1 if it is not there.
func find(name []byte, list []string) int {
	for i, s := range list {
		if len(s) == len(name) && strings.EqualFold(s, string(name)) {
			return i
		}
	}
	return -1
}
