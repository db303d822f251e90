package controlapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// errNoLeader is returned if no other host is known as the leader. The request was
// not sent.
var errNoLeader = errors.New("the control hosts have no leader at present")

// forward sends a request to the leader and copies its response. done reports
// whether a response was written. If not, err is the reason: no leader is known or
// the connection failed, or any failure of a GET request, which has no effects.
func (a *API) forward(ctx khttp.Context) (done bool, err error) {
	addr, err := a.leaderAddress()
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxBodyBytes))
	if err != nil {
		return true, fail(ctx, http.StatusBadRequest, CodeBadRequest, "read body: %v", err)
	}
	forwardCtx, cancel := context.WithTimeout(ctx, proposeTimeout+readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(forwardCtx, ctx.Request().Method, "http://"+addr+ctx.Request().URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set(forwardedHeader, a.Host)
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.Client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" || ctx.Request().Method == http.MethodGet {
			return false, fmt.Errorf("leader %s cannot be reached: %w", addr, err)
		}
		return true, fail(ctx, http.StatusServiceUnavailable, CodeUnknown, "the leader's response was lost: %v", err)
	}
	defer resp.Body.Close()
	return true, ctx.Stream(resp.StatusCode, resp.Header.Get("Content-Type"), resp.Body)
}

// leaderAddress returns the HTTP address of the leader. It returns errNoLeader if
// this host is the leader, or the leader or its address is unknown.
func (a *API) leaderAddress() (string, error) {
	leader := a.Group.Leader()
	for _, m := range a.Members {
		if m.Name == leader && m.HTTP != "" && leader != a.Host {
			return m.HTTP, nil
		}
	}
	return "", errNoLeader
}

// fail writes an error response.
func fail(ctx khttp.Context, status int, code ErrorCode, format string, args ...any) error {
	return ctx.JSON(status, ErrorBody{Error: ErrorDetail{Code: code, Message: fmt.Sprintf(format, args...)}})
}
