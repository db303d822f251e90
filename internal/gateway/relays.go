package gateway

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/relay"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

const (
	// relayBypassSilence is the silence of a relay's host after which requests go
	// directly to their targets. It exceeds pullWait, the time that a pull without
	// changes takes.
	relayBypassSilence = pullWait + 500*time.Millisecond
	// relayAbortSilence is the silence after which the connections of idempotent
	// requests in flight through the relay are closed, so that these are retried.
	relayAbortSilence = pullWait + 1100*time.Millisecond
	// relayAliveWindow is how long after its last answer a relay is assumed to be
	// alive. After that a request that is not idempotent uses a new connection: an
	// idle one would lose it if the relay's host had lost power.
	relayAliveWindow = 100 * time.Millisecond
	// relayDialTimeout bounds the dial to a relay. Although the relay is in the same
	// region, answers that fill this host's link can delay the dial.
	relayDialTimeout = hop.DialTimeout
	// relayBackoff is how long a relay is not used after it refused a connection.
	relayBackoff = 500 * time.Millisecond
	// linkUse is the fraction of this host's link that relayed answers may fill.
	linkUse = 0.92
)

// relays chooses the relay that requests go through, the nearest one of the region
// whose host answers pulls, and tracks the requests in flight through relays.
type relays struct {
	watch *watch
	pool  *hop.Pool
	rate  string // bytes a second that relays may send to this host, empty if its link rate is unknown

	mu           sync.Mutex
	backoffUntil map[string]time.Duration // by relay, which is not used before then
	heard        map[string]time.Duration // last answer by relay
	inFlight     map[*hop.Exchange]bool   // of idempotent requests in flight
}

func newRelays(w *watch, p *hop.Pool, linkRate float64) *relays {
	r := &relays{watch: w, pool: p, backoffUntil: map[string]time.Duration{}, heard: map[string]time.Duration{}, inFlight: map[*hop.Exchange]bool{}}
	if linkRate > 0 {
		r.rate = strconv.FormatFloat(linkRate*linkUse, 'f', 0, 64)
	}
	return r
}

// connect returns a connection to the nearest relay, nil if no relay is usable.
func (r *relays) connect(now time.Duration, idempotent bool) *hop.Conn {
	relay, ok := r.available(now)
	if !ok {
		return nil
	}
	var u *hop.Conn
	if idempotent || r.recentlyAnswered(now, relay.Address) {
		u = r.pool.Get(relay, idempotent)
	}
	if u == nil {
		var err error
		if u, err = r.pool.Dial(relay, relayDialTimeout); err != nil {
			r.dialFailed(now, relay.Address, err)
			return nil
		}
	}
	return u
}

// usable reports whether requests may go through a relay.
func (r *relays) usable() bool {
	_, ok := r.available(r.watch.now())
	return ok
}

// available returns the nearest relay, unless its host is silent or it is in backoff.
func (r *relays) available(now time.Duration) (hop.Endpoint, bool) {
	relay := r.watch.relay(relayBypassSilence)
	return relay, relay.Address != "" && !r.inBackoff(now, relay.Address)
}

// answered records the time of a relay's answer.
func (r *relays) answered(now time.Duration, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[address] = now
}

// recentlyAnswered reports whether a relay or its host has answered within
// relayAliveWindow.
func (r *relays) recentlyAnswered(now time.Duration, address string) bool {
	r.mu.Lock()
	heard, ok := r.heard[address]
	r.mu.Unlock()
	return ok && now-heard < relayAliveWindow || r.watch.relaySilent(address) < relayAliveWindow
}

// dialFailed records that no connection to the relay could be opened. A timeout may
// be due to a full link of this host, so only other errors start a backoff.
func (r *relays) dialFailed(now time.Duration, address string, err error) {
	if hop.IsTimeout(err) {
		return
	}
	r.watch.config.Log.Warn("relay given up", "relay", address, "during", relayBackoff, "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[address] = now + relayBackoff
}

// inBackoff reports whether a relay is not to be used yet.
func (r *relays) inBackoff(now time.Duration, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.backoffUntil[address]
	if ok && now >= until {
		delete(r.backoffUntil, address)
	}
	return ok && now < until
}

// trackInFlight registers a request in flight if it is idempotent. The returned function
// removes it.
func (r *relays) trackInFlight(c *hop.Exchange, idempotent bool) (end func()) {
	if !idempotent {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[c] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.inFlight, c)
	}
}

// abortSilent closes the connections with idempotent requests in flight to relays
// whose hosts are silent, so that these requests are retried.
func (r *relays) abortSilent() {
	now := r.watch.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.heard, func(_ string, at time.Duration) bool { return now-at >= relayAliveWindow })
	for c := range r.inFlight {
		if r.watch.relaySilent(c.Address()) >= relayAbortSilence {
			c.Close()
		}
	}
}

// setHeaders sets the headers that tell the relay where and how to send a request.
func (r *relays) setHeaders(h http.Header, t *roster.Target, kind policy.Kind) {
	h.Set(relay.HeaderTarget, t.Name)
	h.Set(relay.HeaderAddress, t.Address)
	relay.SetTargetLife(h, t.Life)
	if kind.Idempotent() {
		h.Set(relay.HeaderRepeatable, "1")
	}
	if r.rate != "" {
		h.Set(relay.HeaderRate, r.rate)
	}
	if kind == policy.Download {
		h.Set(relay.HeaderBulk, "1")
	}
}
