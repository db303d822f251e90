package controlapi

import (
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Paths of the API.
const (
	PathBundles = "/v1/bundles"
	PathStatus  = "/v1/status"
	// CurrentVersion stands for the newest version in place of a version number.
	CurrentVersion = "current"
)

// ErrorCode is the machine-readable reason of an error response.
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

// VersionDetail describes one accepted version. Only the newest version has
// content. Changes are kept for a limited number of versions.
type VersionDetail struct {
	Header  bundle.Header   `json:"header"`
	Changes []bundle.Change `json:"changes,omitempty"`
	HasDiff bool            `json:"has_changes"`       // whether Changes were kept
	Content []byte          `json:"content,omitempty"` // encoded bundle snapshot, of the newest version only
	Stale   bool            `json:"stale,omitempty"`
}

// StatusReport is the state of the deployment, as known to the leader or, if
// Stale, to the host that served the request.
type StatusReport struct {
	Leader  string        `json:"leader"`
	Version uint64        `json:"version"`
	Root    bundle.Digest `json:"root"`
	Hosts   []HostReport  `json:"hosts"`
	Stale   bool          `json:"stale,omitempty"`
}

// HostReport is the state of one host listed in the bundle.
type HostReport struct {
	rollout.Status
	Role    bundle.Role `json:"role"`
	Drained bool        `json:"drained,omitempty"`
	Lag     uint64      `json:"lag"`              // number of versions behind the newest
	AgeMs   int64       `json:"age_ms,omitempty"` // age of the last report
	Silent  bool        `json:"silent,omitempty"` // no recent report
}
