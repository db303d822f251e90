package controlapi

import (
	"fmt"
	"net/http"
	"strconv"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	defaultPageSize = 50
	maxPageSize     = 1000
)

// list serves a page of the history, newest version first: ?before=VERSION&limit=N.
func (a *API) list(ctx khttp.Context, stale bool) error {
	query := ctx.Request().URL.Query()
	before, err := parseNumber(query.Get("before"), 0)
	if err != nil {
		return fail(ctx, http.StatusBadRequest, CodeBadRequest, "before: %v", err)
	}
	limit, err := parseNumber(query.Get("limit"), defaultPageSize)
	if err != nil {
		return fail(ctx, http.StatusBadRequest, CodeBadRequest, "limit: %v", err)
	}
	return ctx.JSON(http.StatusOK, HistoryPage{Headers: a.Machine.Headers(before, int(min(limit, maxPageSize))), Stale: stale})
}

// show serves one version: the header, the changes if they are still kept, and the
// content if it is the newest version.
func (a *API) show(ctx khttp.Context, stale bool) error {
	current := a.Machine.Current()
	text := ctx.Vars().Get("version")
	if current == nil {
		return notFound(ctx, stale, "no version has been accepted")
	}
	version := current.Header.Version
	if text != CurrentVersion {
		var err error
		if version, err = strconv.ParseUint(text, 10, 64); err != nil {
			return fail(ctx, http.StatusBadRequest, CodeBadRequest, "%q is not a version", text)
		}
	}
	detail := VersionDetail{Stale: stale}
	var ok bool
	if detail.Header, ok = a.Machine.Header(version); !ok {
		return notFound(ctx, stale, fmt.Sprintf("version %d has not been accepted", version))
	}
	if signed, kept := a.Machine.Delta(version); kept {
		detail.Changes, detail.HasDiff = signed.Delta.Changes, true
	}
	if version == current.Header.Version {
		content, err := bundle.EncodeSnapshot(current.Bundle)
		if err != nil {
			return fail(ctx, http.StatusInternalServerError, CodeUnknown, "%v", err)
		}
		detail.Content = content
	}
	return ctx.JSON(http.StatusOK, detail)
}

// notFound writes the response for a version that does not exist. A host that has
// just started may not have replayed its log yet, so without confirmation by a
// leader it responds with CodeNoLeader.
func notFound(ctx khttp.Context, stale bool, message string) error {
	if stale {
		return fail(ctx, http.StatusServiceUnavailable, CodeNoLeader, "%s as far as this host knows, and no leader confirms it", message)
	}
	return fail(ctx, http.StatusNotFound, CodeNotFound, "%s", message)
}

// parseNumber parses a query parameter; an empty text stands for defaultValue.
func parseNumber(text string, defaultValue uint64) (uint64, error) {
	if text == "" {
		return defaultValue, nil
	}
	return strconv.ParseUint(text, 10, 32)
}
