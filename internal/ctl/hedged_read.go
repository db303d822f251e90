package ctl

import (
	"errors"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/controlapi"
)

// hedgedRead collects the answers of the control hosts to one read and picks the
// best one.
type hedgedRead struct {
	confirmBy time.Time // deadline for a confirmed answer; stale ones are taken after it
	hosts     int       // number of control hosts

	mu         sync.Mutex
	body       []byte // best answer so far
	answeredBy string // address of the host that gave body
	failed     map[string]bool
	err        error // of the last failed attempt
	done       bool
}

// record takes the answer of one control host and reports whether the read is
// decided, so that further requests are useless.
func (r *hedgedRead) record(addr string, body []byte, status int, err error) (definite bool) {
	var mark struct{ Stale bool }
	if err == nil {
		err = decode(body, status, &mark)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return true
	}
	var remote *remoteError
	isRemote := errors.As(err, &remote)
	switch {
	case err == nil:
		r.body, r.answeredBy, r.done = body, addr, !mark.Stale || time.Now().After(r.confirmBy)
	case isRemote && remote.Code == controlapi.CodeNotFound:
		r.body, r.err, r.done = nil, &exitError{ExitFailed, err}, true
	case isRemote && remote.Code == controlapi.CodeBadRequest:
		r.body, r.err, r.done = nil, &exitError{ExitUsage, err}, true
	case isRemote && remote.Code == controlapi.CodeNoLeader:
		r.err, r.done = err, time.Now().After(r.confirmBy)
	default:
		r.err, r.failed[addr] = err, true
		r.done = r.body == nil && len(r.failed) == r.hosts
	}
	return r.done
}
