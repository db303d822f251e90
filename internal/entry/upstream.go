package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

const (
	dialTimeout = time.Second // targets take about 1 ms to open a connection; a lost SYN is resent after 1 s
	// linkWaitTimeout limits the wait of a new connection for link share. net/http
	// continues a dial after its request has ended, so the request's deadline
	// does not end this wait.
	linkWaitTimeout = 5 * time.Second
	// idleTimeout is shorter than the 60 s that targets must keep idle
	// connections open, so that a target does not close one as it is used.
	idleTimeout = 20 * time.Second
	// receiveBuffer bounds the bytes that the kernel accepts on a connection
	// from another region. Linux doubles the value, which gives reservedReceiveBytes.
	receiveBuffer     = reservedReceiveBytes / 2
	maxResponseHeader = 64 << 10
	transportBuffer   = 4 << 10
)

// errNoShare means that the link to another region had no share left for a new
// connection. It does not count against the health of the target.
var errNoShare = errors.New("no share of the link")

// upstream manages the connections to targets.
type upstream struct {
	links Links

	mu         sync.Mutex
	transports map[transportKey]*transport
}

// transportKey separates connections whose bytes count against different link shares.
type transportKey struct {
	service string
	region  string        // empty for the host's own region
	class   traffic.Class // Short for the host's own region
}

type transport struct {
	http *http.Transport
	idle int
}

func newUpstream(links Links) *upstream {
	return &upstream{links: links, transports: map[transportKey]*transport{}}
}

// transportFor returns the transport for targets of the service in the other
// region, or in the host's own region if region is empty. hosts is the number
// of entry hosts that share the connections of a target.
func (u *upstream) transportFor(s bundle.Service, hosts int, region string, class traffic.Class) *http.Transport {
	key := transportKey{service: s.Name, region: region, class: class}
	if region == "" {
		key.class = traffic.Short
	}
	idle := idleLimit(s.Connections, hosts, region != "")
	u.mu.Lock()
	defer u.mu.Unlock()
	current := u.transports[key]
	if current != nil && current.idle == idle {
		return current.http
	}
	if current != nil {
		current.http.CloseIdleConnections()
	}
	current = &transport{http: u.newTransport(key, idle), idle: idle}
	u.transports[key] = current
	return current.http
}

// idleLimit returns the number of idle connections that this host may keep to a
// target: its share of those that the target allows. Traffic classes do not
// share connections to other regions, so each class gets half.
func idleLimit(connections, hosts int, remote bool) int {
	limit := connections / max(hosts, 1)
	if remote {
		limit /= 2
	}
	return limit
}

func (u *upstream) newTransport(key transportKey, idle int) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            u.dialer(key),
		DisableCompression:     true, // bodies are passed on as they are
		DisableKeepAlives:      idle == 0,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		WriteBufferSize:        transportBuffer,
		ReadBufferSize:         transportBuffer,
		Protocols:              protocols,
	}
}

// dialer returns the dial function for the key. Connections to another region
// first wait for the link share of their receive buffer.
func (u *upstream) dialer(key transportKey) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if key.region == "" {
		return func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newTargetConn(conn, nil), nil
		}
	}
	d.Control = boundReceiveBuffer
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		limiter := newLinkLimiter(u.links, key.region, key.class)
		opening, cancel := context.WithTimeout(ctx, linkWaitTimeout)
		defer cancel()
		if err := limiter.reserveReceiveBuffer(opening); err != nil {
			limiter.cancel()
			return nil, fmt.Errorf("%w to region %s: %w", errNoShare, key.region, err)
		}
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			limiter.cancel()
			return nil, err
		}
		return newTargetConn(conn, limiter), nil
	}
}

// boundReceiveBuffer sets the size of the receive buffer before the connection
// is opened, as the window announced in the handshake depends on it.
func boundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// closeIdle closes all idle connections to targets.
func (u *upstream) closeIdle() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, t := range u.transports {
		t.http.CloseIdleConnections()
	}
}
