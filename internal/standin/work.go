package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Names of the target protocol's headers.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "Hornbeam-Deadline"
	headerShed     = "Hornbeam-Shed"
	headerAttempt  = "Hornbeam-Attempt"
)

// Receipt is the JSON response to work. It describes the request, so that tests can
// tell whether a response belongs to it.
type Receipt struct {
	Target    string `json:"target"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Query     string `json:"query"`
	Key       string `json:"key,omitempty"`
	Run       int    `json:"run,omitempty"` // how often this target has started work with the key, this time included
	BodyBytes int64  `json:"body_bytes"`
	BodySHA   string `json:"body_sha256"`
}

// handleWork reads the whole request, waits for a slot, takes the work time and responds.
func (t *Target) handleWork(w http.ResponseWriter, r *http.Request) {
	fault := t.takeFault()
	digest := sha256.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the request body was cut off
	}
	t.counts.add(func(s *Stats) { s.Received++; s.LastReceived = time.Now() })
	if fault.Close {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get(headerAttempt); id != "" {
		w.Header().Set(headerAttempt, id)
	}
	if fault.Shed {
		t.counts.add(func(s *Stats) { s.Shed++ })
		w.Header().Set(headerShed, "not-run")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := t.requestContext(r, fault)
	defer cancel()
	receipt := Receipt{Target: t.address, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Key: r.Header.Get(headerKey), BodyBytes: size, BodySHA: hex.EncodeToString(digest.Sum(nil))}
	t.counts.enter(t.config.Slots)
	completed := false
	defer func() { t.counts.leave(completed) }()
	if !t.worker.acquire(ctx) {
		t.giveUp(w, r)
		return
	}
	defer t.worker.release()
	receipt.Run = t.counts.run(receipt.Key)
	if !pause(ctx, t.workTime(r)) || !pause(ctx, time.Duration(fault.LateMs)*time.Millisecond) {
		t.giveUp(w, r)
		return
	}
	completed = t.respond(w, r, receipt, fault)
}

// requestContext returns a context that ends at the caller's cancellation and at the
// deadline in the request's header. With the fault IgnoreCancel it ends only with the target.
func (t *Target) requestContext(r *http.Request, fault Fault) (context.Context, context.CancelFunc) {
	if fault.IgnoreCancel {
		return context.WithCancel(t.workCtx)
	}
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), time.UnixMilli(ms))
}

// workTime returns the work time that the query asks for with work_ms, or a random one.
func (t *Target) workTime(r *http.Request) time.Duration {
	if ms, err := strconv.Atoi(r.URL.Query().Get("work_ms")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return t.worker.duration()
}

// giveUp ends a request whose work was cancelled or passed its deadline: it closes
// the connection or responds with 504, respectively.
func (t *Target) giveUp(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil || t.workCtx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "deadline passed", http.StatusGatewayTimeout)
}
