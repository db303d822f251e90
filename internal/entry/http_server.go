package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/charmbracelet/log"
	kratos "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
)

const maxRequestHeader = 64 << 10 // bytes; net/http adds 4 KB

// HTTPServer is the HTTP server of an entry host.
type HTTPServer struct {
	config  Config
	server  *kratos.Server
	metrics *instruments
	forward *forwarder
	leaving atomic.Bool
}

// NewHTTPServer sets up the routes; Serve starts to accept connections.
func NewHTTPServer(c Config) (*HTTPServer, error) {
	c, err := c.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &HTTPServer{config: c, metrics: newInstruments(c.Registry)}
	s.forward = newForwarder(c, s.metrics, s.refuse)
	s.server = kratos.NewServer(
		kratos.Timeout(c.Timeouts.Control),
		kratos.StrictSlash(false),
		kratos.Filter(s.interceptServices),
		kratos.NotFoundHandler(http.HandlerFunc(s.handleNotFound)),
		kratos.MethodNotAllowedHandler(http.HandlerFunc(s.handleNotFound)),
	)
	s.server.ReadHeaderTimeout = c.Timeouts.ReadHeader
	s.server.IdleTimeout = c.Timeouts.CallerIdle
	s.server.MaxHeaderBytes = maxRequestHeader
	s.server.ErrorLog = c.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.ErrorLevel})
	s.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.route()
	return s, nil
}

// connKey is the context key of the caller's connection.
type connKey struct{}

// interceptServices handles requests to services before the router sees them:
// the router redirects paths that it regards as unclean and sets a timeout on
// the context.
func (s *HTTPServer) interceptServices(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		if strings.HasPrefix(r.URL.Path, servicePrefix) {
			s.forward.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *HTTPServer) route() {
	s.method("/v1/lookup", http.MethodGet, s.handleLookup)
	s.method("/v1/targets", http.MethodPost, s.handleAnnounce)
	s.method("/v1/targets/leave", http.MethodPost, s.handleLeave)
	s.method("/livez", http.MethodGet, s.handleLive)
	s.method("/readyz", http.MethodGet, s.handleReady)
	s.method("/metrics", http.MethodGet, telemetry.MetricsHandler(s.config.Registry).ServeHTTP)
}

// method registers the handler for a path and refuses other HTTP methods there.
func (s *HTTPServer) method(path, method string, h http.HandlerFunc) {
	s.server.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			s.refuse(w, r, notRun(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "%s takes %s only", path, method))
			return
		}
		h(w, r)
	})
}

func (s *HTTPServer) handleNotFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, notRun(http.StatusNotFound, CodeNotFound, "no such path"))
}

// Serve accepts connections until Finish is called. ctx is the base of all
// request contexts and must outlive the requests in flight.
//
// Start and Stop of kratos are not used, because they log in a format of their own.
func (s *HTTPServer) Serve(ctx context.Context) error {
	s.server.BaseContext = func(net.Listener) context.Context { return ctx }
	err := s.server.Serve(callerListener{s.config.Listener, s.config.Timeouts.CallerStall})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// SetLeaving makes /readyz fail and asks callers to close their connections.
func (s *HTTPServer) SetLeaving() { s.leaving.Store(true) }

// CloseIdle closes connections to callers and targets that carry no request.
func (s *HTTPServer) CloseIdle() {
	s.server.SetKeepAlivesEnabled(false)
	s.forward.upstream.closeIdle()
}

// Finish stops accepting connections and waits for all requests in flight.
func (s *HTTPServer) Finish(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	s.forward.upstream.closeIdle()
	return err
}

// InFlight returns the number of requests to services that have not ended.
func (s *HTTPServer) InFlight() int64 { return s.metrics.inFlight.Count() }

// refuse answers with the problem and writes one log line.
func (s *HTTPServer) refuse(w http.ResponseWriter, r *http.Request, p *Problem) {
	s.metrics.refusal(p.Code)
	s.config.Log.Info("request refused", "method", r.Method, "path", r.URL.Path, "status", p.Status,
		"code", p.Code, "outcome", p.Outcome, "message", p.Message)
	p.write(w)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
