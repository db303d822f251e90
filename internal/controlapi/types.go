package controlapi

import (
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Paths of the interface.
const (
	PathBundles = "/v1/bundles"
	PathStatus  = "/v1/status"
	// CurrentVersion in place of a number asks for the newest version.
	CurrentVersion = "current"
)

// ErrorCode tells a program what became of a request.
type ErrorCode string

// Codes of error responses.
const (
	CodeBadRequest ErrorCode = "bad-request" // nothing was submitted
	CodeNotFound   ErrorCode = "not-found"
	CodeNoLeader   ErrorCode = "no-leader" // nothing was submitted; try again
	CodeUnknown    ErrorCode = "unknown"   // the submission may still be accepted; submit the same content again
	CodeNotReady   ErrorCode = "not-ready" // hosts have yet to acknowledge the previous change of a zone's hosts
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// HistoryPage lists accepted versions, newest first.
type HistoryPage struct {
	Headers []bundle.Header `json:"headers"`
	Stale   bool            `json:"stale,omitempty"` // answered without a leader, so newer versions may exist
}

// VersionDetail is one accepted version. Older versions have no content; very
// old ones have no changes either.
type VersionDetail struct {
	Header  bundle.Header   `json:"header"`
	Changes []bundle.Change `json:"changes,omitempty"`
	HasDiff bool            `json:"has_changes"`
	Content []byte          `json:"content,omitempty"` // bundle snapshot, only of the newest version
	Stale   bool            `json:"stale,omitempty"`
}

// StatusReport is the state of the deployment as the leader sees it.
type StatusReport struct {
	Leader  string        `json:"leader"`
	Version uint64        `json:"version"`
	Root    bundle.Digest `json:"root"`
	Hosts   []HostReport  `json:"hosts"`
	Stale   bool          `json:"stale,omitempty"`
}

// HostReport is the state of one host of the bundle.
type HostReport struct {
	rollout.Status
	Role    bundle.Role `json:"role"`
	Drained bool        `json:"drained,omitempty"`
	Lag     uint64      `json:"lag"`              // versions behind the newest
	AgeMs   int64       `json:"age_ms,omitempty"` // of the last report
	Silent  bool        `json:"silent,omitempty"` // no report, or none for a while
}
