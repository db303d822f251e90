package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/retry"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// call is a parsed request to a service.
type call struct {
	service    bundle.Service
	method     string
	path       string // escaped path for the target, with a leading slash
	key        string // idempotency key of a request that needs a claim, else empty
	resend     bool   // the caller has sent the key before and does not know the outcome
	firstSend  bool   // the caller has not sent the key before
	repeatable bool
	class      traffic.Class
	deadline   time.Time
}

// servicePrefix is the path prefix of requests to services.
const servicePrefix = "/s/"

// defaultTimeout is used if the bundle sets no request timeout for the service.
const defaultTimeout = 30 * time.Second

// parseCall reads the request line and headers. It does not read the body.
func parseCall(r *http.Request, d Directory, now time.Time) (call, *Problem) {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	service, ok := d.Service(name)
	if !ok {
		return call{}, notRun(http.StatusNotFound, CodeUnknownService, "service %.100q is not in the bundle in force", name)
	}
	c := call{service: service, method: r.Method, path: "/" + path}
	c.repeatable = retry.Repeatable(r.Method, service.RepeatableMethods)
	if r.Method == http.MethodConnect {
		return call{}, notRun(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "CONNECT is not supported")
	}
	var problem *Problem
	if c.deadline, problem = parseDeadline(r.Header, service, now); problem != nil {
		return call{}, problem
	}
	if c.class, problem = parseClass(r.Header, service, c.path); problem != nil {
		return call{}, problem
	}
	if !c.repeatable {
		c.key, problem = parseKey(r.Header)
		c.resend = c.key != "" && r.Header.Get(HeaderResend) == "true"
		c.firstSend = c.key != "" && r.Header.Get(HeaderResend) == "false"
	}
	return c, problem
}

// parseDeadline returns the deadline of the request, from the shorter of the
// caller's timeout and that of the service.
func parseDeadline(h http.Header, s bundle.Service, now time.Time) (time.Time, *Problem) {
	limit := time.Duration(s.RequestTimeoutMs) * time.Millisecond
	if limit <= 0 {
		limit = defaultTimeout
	}
	values := h[HeaderTimeout]
	if len(values) == 0 {
		return now.Add(limit), nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 31)
	if err != nil || ms == 0 || len(values) > 1 {
		return time.Time{}, notRun(http.StatusBadRequest, CodeInvalidRequest,
			"%s must be one number of milliseconds from 1 to 2147483647", HeaderTimeout)
	}
	return now.Add(min(limit, time.Duration(ms)*time.Millisecond)), nil
}

// parseClass returns the traffic class of the request. Callers may lower it to
// bulk, but cannot raise that of a path with a bulk prefix.
func parseClass(h http.Header, s bundle.Service, path string) (traffic.Class, *Problem) {
	class := traffic.Short
	if plain, err := url.PathUnescape(path); err == nil {
		for _, prefix := range s.BulkPrefixes {
			if strings.HasPrefix(plain, prefix) {
				class = traffic.Bulk
			}
		}
	}
	values := h[HeaderClass]
	if len(values) == 0 {
		return class, nil
	}
	switch {
	case len(values) == 1 && values[0] == traffic.Bulk.String():
		return traffic.Bulk, nil
	case len(values) == 1 && values[0] == traffic.Short.String():
		return class, nil
	}
	return class, notRun(http.StatusBadRequest, CodeInvalidRequest, "%s must be short or bulk", HeaderClass)
}

// keyLength is the length of a UUID in its canonical text form. Other forms
// that uuid.Parse accepts would give one key several spellings.
const keyLength = 36

// parseKey returns the idempotency key in its canonical form, or "" if there is
// none. It checks only the form; claim stores check the time in the key.
func parseKey(h http.Header) (string, *Problem) {
	values := h[HeaderKey]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 || len(values[0]) != keyLength {
		return "", notRun(http.StatusBadRequest, CodeInvalidKey, "%s must be one UUIDv7 of 36 characters", HeaderKey)
	}
	id, err := uuid.Parse(values[0])
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return "", notRun(http.StatusBadRequest, CodeInvalidKey, "%s must be a UUIDv7 (RFC 9562)", HeaderKey)
	}
	return id.String(), nil
}
