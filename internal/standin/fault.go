package standin

import "fmt"

// Fault is the set of fault modes in force.
type Fault struct {
	Close        bool   `json:"close,omitempty"`         // close the connection after the request was read
	Cut          bool   `json:"cut,omitempty"`           // close the connection in the middle of the response
	LateMs       int    `json:"late_ms,omitempty"`       // answer this much later than the work ended
	FailWork     bool   `json:"fail_work,omitempty"`     // answer work with 500, health checks with 200
	Shed         bool   `json:"shed,omitempty"`          // refuse work with the documented shed response
	Load         string `json:"load,omitempty"`          // reported load: "idle", "busy" or "" for the true one
	Freeze       bool   `json:"freeze,omitempty"`        // send no announcements
	IgnoreCancel bool   `json:"ignore_cancel,omitempty"` // work on after the caller or the deadline is gone
	Twice        bool   `json:"twice,omitempty"`         // send a second response that nobody asked for
	Times        int    `json:"times,omitempty"`         // requests that the fault applies to, 0 for all
}

// Load values of a fault.
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

// affectsResponses returns the part of the fault that concerns answers.
func (f Fault) affectsResponses() bool {
	return f.Close || f.Cut || f.LateMs > 0 || f.FailWork || f.Shed || f.IgnoreCancel || f.Twice
}
