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
	heldInterval    = 100 * time.Millisecond // between questions to hosts that have not answered a recovery
	callTimeout     = time.Second
	// tryTimeout bounds the first attempt at the own coordinator, so that a
	// frozen one does not delay the other zones for long.
	tryTimeout = 100 * time.Millisecond
	// watchInterval is how often a waiting request checks for a new coordinator.
	watchInterval = 50 * time.Millisecond
	// queryBackoff separates questions for the coordinator of a zone that does not
	// answer, which every waiting request would otherwise repeat.
	queryBackoff = 500 * time.Millisecond
	// remoteAfter is how long a request waits in its region before it asks
	// other regions, which cost 12 to 20 ms more each way.
	remoteAfter = 40 * time.Millisecond
	// remoteInterval separates two rounds of questions to other regions.
	remoteInterval = 250 * time.Millisecond
	// maxBacklog is the number of requests per slot, running and queued, from
	// which another region is taken as overloaded itself.
	maxBacklog = 1.5
	// silentAfter is how long a host may miss its heartbeats before look-ups leave it out.
	silentAfter = 2 * time.Second
	// staleSummary is the age from which a zone's figures are unknown.
	staleSummary = 3 * time.Second
	// permitTick bounds how late a lost stream is ended.
	permitTick = 100 * time.Millisecond
	// renewTick is a little below slots.RenewInterval, so that a renewal that
	// waits for a tick is still in time.
	renewTick = slots.RenewInterval * 9 / 10
	// releaseAttempts and releaseTimeout bound the delivery of a release; an
	// undelivered one costs a slot until the deadline.
	releaseAttempts = 4
	releaseTimeout  = 500 * time.Millisecond
	// noCoordinatorRetry is the advice to callers while no coordinator is known.
	noCoordinatorRetry = time.Second
	// nominalInFlight is the number of requests in flight at which an entry
	// host counts as full for the weights of look-ups.
	nominalInFlight = 256
	// spareStep rounds spare capacity; states that do not change are not sent.
	spareStep = 16
)
