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
	// relayBypassSilence is the silence of a relay's host after which requests go to
	// the targets themselves. A pull that brings no news takes pullWait.
	relayBypassSilence = pullWait + 500*time.Millisecond
	// relayAbortSilence is the silence after which the requests that it holds are sent
	// again, as far as they may be.
	relayAbortSilence = pullWait + 1100*time.Millisecond
	// relayAliveWindow is how long after its last answer a relay is taken to be there.
	// Later, a request that may not be repeated goes on a new connection, since a
	// kept one would lose it if the relay's host had lost power.
	relayAliveWindow = 100 * time.Millisecond
	// relayDialTimeout bounds the opening of a connection inside the region. The
	// own link may be full of answers meanwhile.
	relayDialTimeout = hop.DialTimeout
	// relayBackoff is how long a relay that did not take a connection is left alone.
	relayBackoff = 500 * time.Millisecond
	// linkUse is the part of the own link that relayed answers may fill.
	linkUse = 0.92
)

// relays chooses the relay that requests go through: the nearest one of the region
// whose host is in contact.
type relays struct {
	watch *watch
	pool  *hop.Pool
	rate  string // bytes a second that the own link carries, empty if unknown

	mu           sync.Mutex
	backoffUntil map[string]time.Duration // relays that are not to be used before
	heard        map[string]time.Duration // last answer of each relay
	inFlight     map[*hop.Conn]bool       // at work with requests that may be repeated
}

func newRelays(w *watch, p *hop.Pool, linkRate float64) *relays {
	r := &relays{watch: w, pool: p, backoffUntil: map[string]time.Duration{}, heard: map[string]time.Duration{}, inFlight: map[*hop.Conn]bool{}}
	if linkRate > 0 {
		r.rate = strconv.FormatFloat(linkRate*linkUse, 'f', 0, 64)
	}
	return r
}

// connect returns a connection to a relay, nil if there is none to use.
func (r *relays) connect(now time.Duration, repeatable bool) *hop.Conn {
	relay := r.watch.relay(relayBypassSilence)
	if relay.Address == "" || r.inBackoff(now, relay.Address) {
		return nil
	}
	var u *hop.Conn
	if repeatable || r.recentlyAnswered(now, relay.Address) {
		u = r.pool.Get(relay, repeatable)
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

// answered notes that a relay has answered.
func (r *relays) answered(now time.Duration, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[address] = now
}

// recentlyAnswered reports whether a relay or its host has answered just now.
func (r *relays) recentlyAnswered(now time.Duration, address string) bool {
	r.mu.Lock()
	heard, ok := r.heard[address]
	r.mu.Unlock()
	return ok && now-heard < relayAliveWindow || r.watch.relaySilent(address) < relayAliveWindow
}

// dialFailed notes that no connection to the relay could be opened. A time-out
// may come from the own link, so only a refusal keeps other requests away.
func (r *relays) dialFailed(now time.Duration, address string, err error) {
	if hop.IsTimeout(err) {
		return
	}
	r.watch.config.Log.Warn("relay given up", "relay", address, "during", relayBackoff, "err", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[address] = now + relayBackoff
}

// inBackoff reports whether a relay is left alone.
func (r *relays) inBackoff(now time.Duration, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.backoffUntil[address]
	if ok && now >= until {
		delete(r.backoffUntil, address)
	}
	return ok && now < until
}

// trackInFlight notes that a relay is at work with a request; the result ends that.
func (r *relays) trackInFlight(u *hop.Conn, repeatable bool) (end func()) {
	if !repeatable {
		return func() {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[u] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.inFlight, u)
	}
}

// abortSilent ends the connections of relays whose hosts are silent, so that what they
// carried is sent again.
func (r *relays) abortSilent() {
	now := r.watch.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.heard, func(_ string, at time.Duration) bool { return now-at >= relayAliveWindow })
	for u := range r.inFlight {
		if r.watch.relaySilent(u.Address()) >= relayAbortSilence {
			u.Close()
		}
	}
}

// setHeaders sets the headers of a request for the relay.
func (r *relays) setHeaders(h http.Header, t *roster.Target, kind policy.Kind) {
	h.Set(relay.HeaderTarget, t.Name)
	h.Set(relay.HeaderAddress, t.Address)
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
