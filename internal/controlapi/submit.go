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

// submit proposes a signed bundle to the agreement group.
func (a *API) submit(ctx khttp.Context, _ bool) error {
	var signed bundle.Signed
	body := http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&signed); err != nil {
		return fail(ctx, http.StatusBadRequest, CodeBadRequest, "signed bundle cannot be decoded: %v", err)
	}
	// The state is read first, so that the delta starts from the newest version.
	if err := a.read(ctx); err != nil {
		return fail(ctx, http.StatusServiceUnavailable, CodeNoLeader, "%v", err)
	}
	if waiting := a.unacknowledged(&signed); len(waiting) > 0 {
		return fail(ctx, http.StatusServiceUnavailable, CodeNotReady,
			"the previous change of a zone's entry hosts is not yet in force on: %s", strings.Join(waiting, ", "))
	}
	command, err := a.compact(&signed).Encode()
	if err != nil {
		return fail(ctx, http.StatusBadRequest, CodeBadRequest, "%v", err)
	}
	limit, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	reply, err := a.Group.Propose(limit, command)
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return fail(ctx, http.StatusServiceUnavailable, CodeNoLeader, "%v", err)
	}
	if err != nil {
		return fail(ctx, http.StatusServiceUnavailable, CodeUnknown, "%v", err)
	}
	return a.respond(ctx, &signed.Header, reply)
}

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

// compact replaces a snapshot by a delta from the newest version, if it follows
// that version. The log and the offers then carry only what changed.
// Of a version that was decided before, only the header counts.
func (a *API) compact(signed *bundle.Signed) *bundle.Signed {
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

// next decodes a snapshot that follows the newest version; nil if it does not.
func (a *API) next(signed *bundle.Signed) (*bundle.Bundle, *bundle.Version) {
	base := a.Machine.Current()
	if base == nil || signed.Delta != nil || signed.Header.Version != base.Header.Version+1 || signed.Header.Previous != base.Header.Root {
		return nil, nil
	}
	next, err := bundle.DecodeSnapshot(signed.Snapshot)
	if err != nil {
		return nil, nil // the state machine gives the reason
	}
	next.Version = signed.Header.Version
	return next, base
}

// unacknowledged returns the hosts that keep a change of a zone's entry hosts
// from being accepted: majorities of two lists of voters overlap only if the
// lists differ by one host, so no host may still use the list before the last.
func (a *API) unacknowledged(signed *bundle.Signed) []string {
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
