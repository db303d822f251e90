package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Problem is a refusal or failure that the caller is told about.
type Problem struct {
	Status     int
	Code       string
	Outcome    string
	Message    string
	RetryAfter time.Duration
}

func (p *Problem) Error() string { return fmt.Sprintf("%s (%s): %s", p.Code, p.Outcome, p.Message) }

// Codes of problems.
const (
	CodeInvalidRequest    = "invalid-request"
	CodeInvalidKey        = "invalid-key"
	CodeUnknownService    = "unknown-service"
	CodeNotFound          = "not-found"
	CodeMethodNotAllowed  = "method-not-allowed"
	CodeBusy              = "busy"
	CodeShed              = "shed"
	CodeTargetUnreachable = "target-unreachable"
	CodeTargetFailed      = "target-failed"
	CodeBadResponse       = "bad-target-response"
	CodeDeadline          = "deadline"
	CodeCallerGone        = "caller-gone"
	CodeAnswerNotKept     = "answer-not-kept"
	CodeInternal          = "internal"
	CodeUnknownCaller     = "unknown-caller"
	CodeRefusedTarget     = "refused-target"
	CodeNotReady          = "not-ready"
)

type problemBody struct {
	Error problemFields `json:"error"`
}

type problemFields struct {
	Code         string `json:"code"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// write sends the problem as the response.
func (p *Problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(problemBody{problemFields{p.Code, p.Outcome, p.Message, p.RetryAfter.Milliseconds()}})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, p.Outcome)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((p.RetryAfter+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

func notRun(status int, code, format string, args ...any) *Problem {
	return &Problem{Status: status, Code: code, Outcome: OutcomeNotRun, Message: fmt.Sprintf(format, args...)}
}

func unknown(status int, code, format string, args ...any) *Problem {
	return &Problem{Status: status, Code: code, Outcome: OutcomeUnknown, Message: fmt.Sprintf(format, args...)}
}
