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
	// proposeTimeout leaves time for the election of a new leader.
	proposeTimeout = 5 * time.Second
	readTimeout    = 2 * time.Second
	// maxBodyBytes admits a signed bundle with 640,000 caller blocks.
	maxBodyBytes = 32 << 20
	// forwardedHeader marks a request that another control host passed on, so
	// that two hosts that name each other as leader do not pass it in circles.
	forwardedHeader = "Hornbeam-Forwarded"
)

// API serves the operators' requests.
type API struct {
	Host        string
	Members     []settings.Member // control hosts with their HTTP addresses
	Group       Group
	Machine     *history.Machine
	Distributor *rollout.Distributor
	Metrics     metrics.Registry
	Log         *log.Logger
	Client      *http.Client // for forwarded requests
	Ready       func() error // further conditions of /readyz; may be nil
}

// Register adds all paths to a server.
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

// ready reports whether this host can read the committed history.
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

// handler answers a request on this host. stale says that no leader confirmed
// that the local state is the newest.
type handler func(ctx khttp.Context, stale bool) error

// onLeader runs h on the leading host. Reads are answered from the local state
// if there is no leader or it cannot be reached.
func (a *API) onLeader(h handler, isRead bool) khttp.HandlerFunc {
	return func(ctx khttp.Context) error {
		if a.Group.Leader() == a.Host || ctx.Request().Header.Get(forwardedHeader) != "" {
			return h(ctx, isRead && a.read(ctx) != nil)
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

func (a *API) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return a.Group.Read(ctx)
}
