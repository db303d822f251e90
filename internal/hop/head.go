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
	if r.StatusCode < minStatus || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %03d", ErrMalformedHead, r.StatusCode)
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

func isToken(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte(tokenBytes, c) < 0 {
			return false
		}
	}
	return name != ""
}
