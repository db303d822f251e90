package history

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// Outcome is the decision on a submitted version.
type Outcome string

// Outcomes of a submission.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict" // the version number is taken by other content, or the previous root does not match
	Refused  Outcome = "refused"  // the submission itself is invalid
)

// Result is the reply of the state machine to a submission. It depends only on the
// replication log, so it is the same on all control hosts.
type Result struct {
	Outcome  Outcome        `cbor:"1,keyasint" json:"outcome"`
	Accepted *bundle.Header `cbor:"2,keyasint,omitempty" json:"accepted,omitempty"` // accepted header; for a conflict, that of the version accepted instead
	Message  string         `cbor:"3,keyasint,omitempty" json:"message,omitempty"`
	Findings finding.List   `cbor:"4,keyasint,omitempty" json:"findings,omitempty"`
}

// DecodeResult decodes the reply of Machine.Apply.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := cbor.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode result: %w", err)
	}
	return r, nil
}

func (r *Result) encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic(err) // results contain only strings, numbers and bytes, which can always be encoded
	}
	return data
}

func accepted(h *bundle.Header) Result { return Result{Outcome: Accepted, Accepted: h} }

func conflict(h *bundle.Header) Result {
	return Result{Outcome: Conflict, Accepted: h,
		Message: fmt.Sprintf("version %d was accepted with root %s from operator %q", h.Version, h.Root, h.Operator)}
}

func refused(format string, args ...any) Result {
	return Result{Outcome: Refused, Message: fmt.Sprintf(format, args...)}
}
