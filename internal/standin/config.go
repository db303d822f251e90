package standin

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// Config configures one stand-in target.
type Config struct {
	Address     string        // IP:port to listen on; port 0 picks a free one
	Service     string        // service that the target belongs to
	Zone        string        // availability zone that the target announces
	Entries     []string      // entry hosts (IP:port) that take announcements; none means no announcements
	Slots       int           // requests that the target works on at the same time
	Connections int           // open connections that the target announces as allowed
	Incarnation uint64        // number of this start, higher at each start; 0 takes the current time
	MeanWork    time.Duration // mean of the exponential work time, used for requests without work_ms; 0 means no work time
	Seed        uint64        // seed of the work times
	Rate        int           // rate limit of downloads in bytes per second, 0 for no limit
	Interval    time.Duration // time between announcements, DefaultInterval if 0
	IdleTimeout time.Duration // time after which idle connections are closed, DefaultIdleTimeout if 0
	LeaveGrace  time.Duration // time during which a leaving target still accepts work, DefaultLeaveGrace if 0
	Fault       Fault         // fault modes in force from the start

	// Wrap, if set, wraps the listener, so that measurements can observe connections.
	Wrap func(net.Listener) net.Listener
}

// Defaults of the target protocol.
const (
	DefaultInterval    = time.Second
	DefaultIdleTimeout = 2 * time.Minute
	// DefaultLeaveGrace covers requests whose slot was granted before the zone learned that the target is leaving.
	DefaultLeaveGrace = 2 * time.Second
	// StallLimit is the time after which a connection that accepts no bytes is closed (target contract).
	StallLimit = 30 * time.Second
)

func (c Config) withDefaults(now time.Time) Config {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.LeaveGrace == 0 {
		c.LeaveGrace = DefaultLeaveGrace
	}
	if c.Incarnation == 0 {
		c.Incarnation = uint64(now.UnixNano())
	}
	return c
}

func (c Config) check() error {
	if _, err := netip.ParseAddrPort(c.Address); err != nil {
		return err
	}
	if c.Service == "" {
		return errors.New("service is empty")
	}
	if c.Slots < 1 {
		return errors.New("slots must be at least 1")
	}
	return nil
}
