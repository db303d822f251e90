package hop

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformedHead is returned for a message head that breaks the protocol, and that other
// readers may understand differently.
var ErrMalformedHead = errors.New("the message head is malformed")

// Range of the status codes that exist.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns an error if a response has a version or a status that no target may
// send. 101 is among them, since no request asks for another protocol.
func CheckStatus(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %.20q", ErrMalformedHead, r.Proto)
	}
	return checkStatusCode(r.StatusCode)
}

func checkStatusCode(code int) error {
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformedHead, code)
	}
	return nil
}

// CheckFields returns an error if the name of a field holds a blank, as one before the colon,
// or another byte that no name may hold. net/http keeps such fields beside those that they
// resemble, so that a length or coding in them is not applied.
func CheckFields(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return fmt.Errorf("%w: field name %.100q", ErrMalformedHead, name)
		}
	}
	return nil
}

// tokenBytes are the bytes of a token (RFC 9110 section 5.6.2) besides letters and digits.
const tokenBytes = "!#$%&'*+-.^_`|~"

// isTokenByte tells which bytes a token may hold.
var isTokenByte = func() (table [256]bool) {
	for c := range 256 {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		digit := '0' <= c && c <= '9'
		table[c] = letter || digit || strings.IndexByte(tokenBytes, byte(c)) >= 0
	}
	return table
}()

func isToken(name string) bool {
	for i := range len(name) {
		if !isTokenByte[name[i]] {
			return false
		}
	}
	return name != ""
}

func isTokenBytes(name []byte) bool {
	for _, c := range name {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(name) > 0
}
