package controlapi

import (
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/hornbeamstack/hornbeamstack/internal/rollout"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// silentAfter is the age of the last report at which a host counts as silent. Hosts
// report at least every 2 s, so two consecutive reports are missing by then.
const silentAfter = 5 * time.Second

// status serves the state of all hosts in the newest version.
func (a *API) status(ctx khttp.Context, stale bool) error {
	report := StatusReport{Leader: a.Group.Leader(), Hosts: []HostReport{}, Stale: stale}
	current := a.Machine.Current()
	if current == nil {
		return ctx.JSON(http.StatusOK, report)
	}
	report.Version, report.Root = current.Header.Version, current.Header.Root
	known := a.Distributor.Hosts()
	now := time.Now()
	for i := range current.Bundle.Hosts {
		report.Hosts = append(report.Hosts, a.hostReport(current, &current.Bundle.Hosts[i], known, now))
	}
	return ctx.JSON(http.StatusOK, report)
}

// hostReport returns the state of host h from the known reports. This host itself
// is up to date if it has sent no report.
func (a *API) hostReport(current *bundle.Version, h *bundle.Host, known map[string]rollout.HostStatus, now time.Time) HostReport {
	host := HostReport{Role: h.Role, Drained: current.Bundle.HostDrained(h)}
	last, ok := known[h.Name]
	switch {
	case ok:
		host.Status = last.Status
		host.AgeMs = now.Sub(last.Received).Milliseconds()
		host.Silent = now.Sub(last.Received) > silentAfter
	case h.Name == a.Host:
		host.Version, host.Root = current.Header.Version, current.Header.Root
	default:
		host.Silent = true
	}
	host.Host, host.AvailabilityZone = h.Name, h.AvailabilityZone
	if host.Version < current.Header.Version {
		host.Lag = current.Header.Version - host.Version
	}
	return host
}
