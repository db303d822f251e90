package hop

import (
	"errors"
	"fmt"
	"net/http"
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
