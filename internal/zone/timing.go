package zone

import (
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

const (
	leaseTick       = 20 * time.Millisecond
	poolTick        = 25 * time.Millisecond
	beatInterval    = 500 * time.Millisecond
	summaryInterval = time.Second
	heldInterval    = 100 * time.Millisecond // between slots.held requests to hosts that have not answered a recovery
	callTimeout     = time.Second
	// tryTimeout bounds an attempt that does not queue, so that a frozen
	// coordinator does not delay the attempts at other zones for long.
	tryTimeout = 100 * time.Millisecond
	// watchInterval is how often a waiting request checks for a new coordinator.
	watchInterval = 50 * time.Millisecond
	// queryBackoff is the minimum time between queries for the coordinator of a zone
	// that does not answer. Otherwise every waiting request would repeat them.
	queryBackoff = 500 * time.Millisecond
	// remoteAfter is how long a request waits in its region before it asks other
	// regions, which add 12 to 20 ms of latency each way.
	remoteAfter = 40 * time.Millisecond
	// remoteInterval is the time between two rounds of requests to other regions.
	remoteInterval = 250 * time.Millisecond
	// maxBacklog is the number of outstanding and queued requests per slot from
	// which a zone of another region counts as overloaded.
	maxBacklog = 1.5
	// silentAfter is the time without a heartbeat after which look-ups leave a host out.
	silentAfter = 2 * time.Second
	// staleSummary is the age from which a zone's summary is no longer used.
	staleSummary = 3 * time.Second
	// permitTick is the interval of the check for lost streams, and bounds how late
	// one is ended.
	permitTick = 100 * time.Millisecond
	// renewTick is slightly shorter than slots.RenewInterval, so that a renewal
	// that waits for the next tick is still in time.
	renewTick = slots.RenewInterval * 9 / 10
	// releaseAttempts and releaseTimeout bound the delivery of a release. If it is
	// not delivered, the slot stays occupied until the permit expires.
	releaseAttempts = 4
	releaseTimeout  = 500 * time.Millisecond
	// noCoordinatorRetry is the retry delay suggested to callers while no
	// coordinator is known.
	noCoordinatorRetry = time.Second
	// nominalInFlight is the number of requests in flight at which an entry host
	// has no spare capacity for look-ups.
	nominalInFlight = 256
	// spareStep is the granularity of spare capacity. Coarse values change rarely,
	// and unchanged host states are not sent.
	spareStep = 16
)
