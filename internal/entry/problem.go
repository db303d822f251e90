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
	CodeInvalidRequest    = "invalid_request"
	CodeInvalidKey        = "invalid_key"
	CodeUnknownService    = "unknown_service"
	CodeNotFound          = "not_found"
	CodeMethodNotAllowed  = "method_not_allowed"
	CodeBusy              = "busy"
	CodeShed              = "shed"
	CodeTargetUnreachable = "target_unreachable"
	CodeTargetFailed      = "target_failed"
	CodeBadResponse       = "bad_target_response"
	CodeDeadline          = "deadline"
	CodeCallerGone        = "caller_gone"
	CodeAnswerNotKept     = "answer_not_kept"
	CodeInternal          = "internal"
	CodeUnknownCaller     = "unknown_caller"
	CodeRefusedTarget     = "refused_target"
	CodeNotReady          = "not_ready"
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
