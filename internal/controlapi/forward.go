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

// errNoLeader says that no leader is known, so nothing was sent.
var errNoLeader = errors.New("the control hosts have no leader at present")

// forward passes a request on to the leader. done reports that a response was
// written; if not, err tells why nothing reached the leader.
func (a *API) forward(ctx khttp.Context) (done bool, err error) {
	addr, err := a.leaderAddress()
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(ctx.Response(), ctx.Request().Body, maxBodyBytes))
	if err != nil {
		return true, fail(ctx, http.StatusBadRequest, CodeBadRequest, "read body: %v", err)
	}
	limit, cancel := context.WithTimeout(ctx, proposeTimeout+readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(limit, ctx.Request().Method, "http://"+addr+ctx.Request().URL.RequestURI(), bytes.NewReader(body))
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

func (a *API) leaderAddress() (string, error) {
	leader := a.Group.Leader()
	for _, m := range a.Members {
		if m.Name == leader && m.HTTP != "" && leader != a.Host {
			return m.HTTP, nil
		}
	}
	return "", errNoLeader
}

func fail(ctx khttp.Context, status int, code ErrorCode, format string, args ...any) error {
	return ctx.JSON(status, ErrorBody{Error: ErrorDetail{Code: code, Message: fmt.Sprintf(format, args...)}})
}
