package zone

import "fmt"

// Codes of AnnounceError in addition to those of package slots.
const (
	CodeWrongZone   = "wrong-zone"
	CodeAddress     = "address-outside-zone"
	CodeUnavailable = "no-coordinator"
)

// AnnounceError rejects a target's announcement.
type AnnounceError struct {
	Code    string
	Message string
}

func (e *AnnounceError) Error() string { return e.Message }

// UnknownHostError reports a host that the bundle in force does not list.
type UnknownHostError struct{ Host string }

func (e *UnknownHostError) Error() string { return fmt.Sprintf("host %q is not in the bundle", e.Host) }
