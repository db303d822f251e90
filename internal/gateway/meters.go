package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/telemetry"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// meters holds the metrics of the request path and the sampler of its log lines.
type meters struct {
	registry metrics.Registry
	sampler  *telemetry.Sampler
}

func newMeters() *meters {
	return &meters{registry: metrics.NewRegistry(), sampler: telemetry.NewSampler()}
}

func (m *meters) count(name string) { metrics.GetOrRegisterCounter(name, m.registry).Inc(1) }

func (m *meters) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

func (m *meters) time(name string, d time.Duration) {
	telemetry.ObserveDuration(m.registry, name, d)
}

// refused counts a refused request by reason.
func (m *meters) refused(reason string) { m.count("request.refused." + reason) }

// answered counts an answer of a target and records its times. total is the time
// since the caller's header was complete, atTarget the part of it between sending
// the request and the results of the attempts.
func (m *meters) answered(kind policy.Kind, status int, total, atTarget time.Duration) {
	switch {
	case status < 400:
		m.count("request.answered." + kind.String() + ".success")
	case status < 500:
		m.count("request.answered." + kind.String() + ".caller_error")
	default:
		m.count("request.answered." + kind.String() + ".target_error")
	}
	m.time("request.total_ms."+kind.String(), total)
	m.time("request.at_target_ms."+kind.String(), atTarget)
	m.time("request.added_ms."+kind.String(), total-atTarget)
}

// Metrics returns the registry of the entry host's metrics.
func (g *Gateway) Metrics() metrics.Registry { return g.meters.registry }

// updateGauges sets the gauges that describe the state of this host.
func (g *Gateway) updateGauges() {
	version, orders := g.view.versions()
	rank, hosts := g.view.place()
	g.mu.Lock()
	callers := len(g.callers)
	g.mu.Unlock()
	g.meters.gauge("policy.version", int64(version))
	g.meters.gauge("orders.index", int64(orders))
	g.meters.gauge("fleet.entry_hosts", int64(hosts))
	g.meters.gauge("fleet.rank", int64(rank))
	g.meters.gauge("targets.known", int64(len(g.view.targets.All())))
	counts := g.view.targets.Counts()
	g.meters.gauge("targets.unnamed_service", int64(counts.Unnamed))
	g.meters.gauge("targets.superseded", int64(counts.Superseded))
	g.meters.gauge("callers.open", int64(callers))
	g.meters.gauge("targets.idle_connections", int64(g.pool.Size()))
	g.meters.gauge("repeat.left", int64(g.budgets.left(g.now(), hosts)))
	g.meters.gauge("control.age_ms", g.watch.age().Milliseconds())
}
