package controlapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/history"
	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/internal/settings"
	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
)

const (
	// proposeTimeout bounds one proposal. It leaves time for the election of a new
	// leader.
	proposeTimeout = 5 * time.Second
	// readTimeout bounds the wait for a leader to confirm the local state.
	readTimeout = 2 * time.Second
	// maxBodyBytes bounds request bodies. A signed bundle with 640,000 caller
	// blocks fits.
	maxBodyBytes = 32 << 20
	// forwardedHeader marks a request that another control host has forwarded. Such
	// a request is not forwarded again, which prevents a loop between two hosts
	// that each take the other for the leader.
	forwardedHeader = "Hornbeam-Forwarded"
)

// API serves the operators' HTTP requests on one control host.
type API struct {
	Host        string            // name of this host
	Members     []settings.Member // control hosts with their HTTP addresses
	Group       Group
	Machine     *history.Machine
	Distributor *rollout.Distributor
	Metrics     metrics.Registry
	Log         *log.Logger
	Client      *http.Client // sends forwarded requests to the leader
	Ready       func() error // additional check of /readyz; may be nil
}

// Register adds all routes of the API to srv.
func (a *API) Register(srv *khttp.Server) {
	srv.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	srv.HandleFunc("/readyz", a.ready)
	srv.Handle("/metrics", telemetry.MetricsHandler(a.Metrics))
	r := srv.Route("/")
	r.POST(PathBundles, a.onLeader(a.submit, false))
	r.GET(PathBundles, a.onLeader(a.list, true))
	r.GET(PathBundles+"/{version}", a.onLeader(a.show, true))
	r.GET(PathStatus, a.onLeader(a.status, true))
}

// ready serves /readyz. The host is ready if the Ready check passes and the
// host can confirm its state as committed or knows another host as leader.
func (a *API) ready(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	if a.Ready != nil {
		if err := a.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	err := a.Group.Read(ctx)
	var notLeader *NotLeaderError
	if err != nil && !(errors.As(err, &notLeader) && notLeader.Leader != "") {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handler serves a request from the state of this host. stale means that no leader
// has confirmed the local state as up to date.
type handler func(ctx khttp.Context, stale bool) error

// onLeader runs h if this host is the leader or the request was already forwarded,
// and forwards the request to the leader otherwise. Without a reachable leader,
// reads are served from the local state, marked as stale.
func (a *API) onLeader(h handler, isRead bool) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		if a.Group.Leader() == a.Host || ctx.Request().Header.Get(forwardedHeader) != "" {
			return h(ctx, isRead && a.readBarrier(ctx) != nil)
		}
		done, err := a.forward(ctx)
		if done || err == nil {
			return err
		}
		if isRead {
			return h(ctx, true)
		}
		return fail(ctx, http.StatusServiceUnavailable, CodeNoLeader, "%v", err)
	}
}

// readBarrier waits until the local state holds everything committed before the
// call, readTimeout at most.
func (a *API) readBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return a.Group.Read(ctx)
}
