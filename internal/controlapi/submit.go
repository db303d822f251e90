package controlapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strings"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// submit proposes a signed bundle to the agreement group and serves its decision.
func (a *API) submit(ctx khttp.Context, _ bool) error {
	var signed bundle.Signed
	body := http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&signed); err != nil {
		return fail(ctx, http.StatusBadRequest, CodeBadRequest, "signed bundle cannot be decoded: %v", err)
	}
	// The local state must be up to date, so that the delta is based on the newest
	// version.
	if err := a.readBarrier(ctx); err != nil {
		return fail(ctx, http.StatusServiceUnavailable, CodeNoLeader, "%v", err)
	}
	if waiting := a.unacknowledgedVoters(&signed); len(waiting) > 0 {
		return fail(ctx, http.StatusServiceUnavailable, CodeNotReady,
			"the previous change of a zone's entry hosts is not yet in force on: %s", strings.Join(waiting, ", "))
	}
	command, err := a.asDelta(&signed).Encode()
	if err != nil {
		return fail(ctx, http.StatusBadRequest, CodeBadRequest, "%v", err)
	}
	proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := a.Group.Propose(proposeCtx, command)
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return fail(ctx, http.StatusServiceUnavailable, CodeNoLeader, "%v", err)
	}
	if err != nil {
		return fail(ctx, http.StatusServiceUnavailable, CodeUnknown, "%v", err)
	}
	return a.respond(ctx, &signed.Header, reply)
}

// respond writes the result of a proposal that the state machine has applied.
func (a *API) respond(ctx khttp.Context, h *bundle.Header, reply []byte) error {
	result, err := history.DecodeResult(reply)
	if err != nil {
		return fail(ctx, http.StatusServiceUnavailable, CodeUnknown, "%v", err)
	}
	a.Log.Info("bundle submitted", "version", h.Version, "root", h.Root, "operator", h.Operator,
		"outcome", result.Outcome, "reason", result.Message)
	status := http.StatusOK
	switch result.Outcome {
	case history.Conflict:
		status = http.StatusConflict
	case history.Refused:
		status = http.StatusUnprocessableEntity
	}
	return ctx.JSON(status, result)
}

// asDelta replaces a snapshot that directly follows the newest version by a delta
// from that version, so that the log and the offers carry only the changes. For a
// version number that is not newer, it returns the header only, because the state
// machine decides such a submission by its header.
func (a *API) asDelta(signed *bundle.Signed) *bundle.Signed {
	if current := a.Machine.Current(); current != nil && signed.Header.Version <= current.Header.Version {
		return &bundle.Signed{Header: signed.Header}
	}
	next, base := a.next(signed)
	if next == nil {
		return signed
	}
	smaller, err := bundle.NewSigned(signed.Header, next, base.Bundle)
	if err != nil {
		return signed
	}
	return smaller
}

// next decodes a snapshot that directly follows the newest version, and returns it
// together with that version. It returns nil if signed is no such snapshot.
func (a *API) next(signed *bundle.Signed) (*bundle.Bundle, *bundle.Version) {
	base := a.Machine.Current()
	if base == nil || signed.Delta != nil || signed.Header.Version != base.Header.Version+1 || signed.Header.Previous != base.Header.Root {
		return nil, nil
	}
	next, err := bundle.DecodeSnapshot(signed.Snapshot)
	if err != nil {
		return nil, nil // the state machine refuses it and reports the reason
	}
	next.Version = signed.Header.Version
	return next, base
}

// unacknowledgedVoters returns the hosts that have not acknowledged the previous
// change of the entry hosts of a zone whose entry hosts signed changes again. Such
// a submission must wait for them: the majorities of two voter lists are certain
// to overlap only if the lists differ by one host, so no host may still use the
// list before the last.
func (a *API) unacknowledgedVoters(signed *bundle.Signed) []string {
	next, base := a.next(signed)
	if next == nil {
		return nil
	}
	var waiting []string
	for zone := range bundle.VoterChanges(next, base.Bundle) {
		var voters []string
		for _, h := range base.Bundle.Hosts {
			if h.Role == bundle.RoleEntry && h.AvailabilityZone == zone {
				voters = append(voters, h.Name)
			}
		}
		waiting = append(waiting, a.Distributor.Missing(voters, a.Machine.VoterChange(zone))...)
	}
	slices.Sort(waiting)
	return waiting
}
