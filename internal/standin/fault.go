package standin

import "fmt"

// Fault is a set of fault modes; the zero value has none. It is the body of
// POST /standin/fault.
type Fault struct {
	Close        bool   `json:"close,omitempty"`         // close the connection after the request was read
	Cut          bool   `json:"cut,omitempty"`           // close the connection in the middle of the response
	LateMs       int    `json:"late_ms,omitempty"`       // delay of the response after the end of the work, in milliseconds
	FailWork     bool   `json:"fail_work,omitempty"`     // respond to work with 500 and to health checks with 200
	Shed         bool   `json:"shed,omitempty"`          // refuse work with the documented shed response
	Load         string `json:"load,omitempty"`          // reported load: "idle", "busy" or "" for the true one
	Freeze       bool   `json:"freeze,omitempty"`        // send no announcements
	IgnoreCancel bool   `json:"ignore_cancel,omitempty"` // go on working after the caller's cancellation or the deadline
	Twice        bool   `json:"twice,omitempty"`         // send a second, unsolicited response on the connection
	Times        int    `json:"times,omitempty"`         // number of requests that the fault applies to, 0 for all
}

// Values of Fault.Load.
const (
	LoadIdle = "idle"
	LoadBusy = "busy"
)

func (f Fault) check() error {
	switch f.Load {
	case "", LoadIdle, LoadBusy:
	default:
		return fmt.Errorf("load %q is not idle, busy or empty", f.Load)
	}
	if f.LateMs < 0 || f.Times < 0 {
		return fmt.Errorf("late_ms %d and times %d must not be negative", f.LateMs, f.Times)
	}
	return nil
}

// affectsResponses reports whether a fault mode that acts on requests for work is on.
// Load and Freeze act on announcements only.
func (f Fault) affectsResponses() bool {
	return f.Close || f.Cut || f.LateMs > 0 || f.FailWork || f.Shed || f.IgnoreCancel || f.Twice
}
