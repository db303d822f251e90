package rollout

import (
	"sync/atomic"

	"github.com/hornbeamstack/hornbeamstack/internal/peer"
)

// Reporter sends the status of this host to the leader of the control hosts.
type Reporter struct {
	host, zone string
	holder     *Holder
	client     *peer.Client
	headroom   func() map[string]float64
	leader     atomic.Pointer[string]
}

// NewReporter returns a reporter. headroom returns the unused fraction of each
// limit; it may be nil.
func NewReporter(host, zone string, h *Holder, c *peer.Client, headroom func() map[string]float64) *Reporter {
	return &Reporter{host: host, zone: zone, holder: h, client: c, headroom: headroom}
}

// SetLeader sets the peer address that reports are sent to. It ignores an empty
// address.
func (r *Reporter) SetLeader(addr string) {
	if addr != "" {
		r.leader.Store(&addr)
	}
}

// Report sends the current status, without waiting for delivery. The report is
// lost if the leader is unknown or unreachable; the next one carries the same
// information.
func (r *Reporter) Report() {
	addr := r.leader.Load()
	if addr == nil {
		return
	}
	status := Status{Host: r.host, AvailabilityZone: r.zone}
	if a := r.holder.Current(); a != nil {
		status.Version, status.Root = a.Version, a.Root
	}
	if r.headroom != nil {
		status.Headroom = r.headroom()
	}
	_ = peer.Notify(r.client, *addr, MethodStatus, status)
}

// Leader returns the peer address of the leader, or an empty string if unknown.
func (r *Reporter) Leader() string {
	if addr := r.leader.Load(); addr != nil {
		return *addr
	}
	return ""
}
