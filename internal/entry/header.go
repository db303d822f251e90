package entry

import (
	"net/http"
	"strings"
)

// Headers of the protocols with callers and targets.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderOutcome  = "Hornbeam-Outcome"
	HeaderTimeout  = "Hornbeam-Timeout-Ms"
	HeaderDeadline = "Hornbeam-Deadline"
	HeaderClass    = "Hornbeam-Class"
	HeaderShed     = "Hornbeam-Shed"
	HeaderAttempt  = "Hornbeam-Attempt"
	HeaderResend   = "Hornbeam-Resend"
)

// Values of HeaderOutcome.
const (
	OutcomeDone       = "done"
	OutcomeNotRun     = "not-run"
	OutcomeUnknown    = "unknown"
	OutcomeInProgress = "in-progress"
	OutcomeReplayed   = "replayed"
)

// shedNotRun is the value of HeaderShed by which a target says that it did not run the work.
const shedNotRun = "not-run"

// hopByHop lists the headers that concern one connection only (RFC 9110 section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders lists headers that are never passed on between callers and targets;
// the entry host sets its own values where the next hop needs them.
var ownHeaders = []string{HeaderOutcome, HeaderTimeout, HeaderDeadline, HeaderShed, HeaderAttempt, HeaderResend}

// endToEnd copies the headers that are passed on to the next hop.
func endToEnd(in http.Header) http.Header {
	out := make(http.Header, len(in)+4)
	for name, values := range in {
		out[name] = values
	}
	for _, value := range in["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	for _, name := range ownHeaders {
		delete(out, name)
	}
	return out
}
