package hop

import (
	"sync"
	"time"
)

const (
	// keepAliveFraction is the part of a target's idle timeout after which a
	// connection is not used for requests that may not be repeated.
	keepAliveFraction = 0.7
	// defaultKeepAlive is assumed of targets that do not state their timeout.
	defaultKeepAlive = 10 * time.Second
	// maxIdleTime bounds how long a connection is kept for later requests.
	maxIdleTime = 30 * time.Second
)

// Endpoint is one start of a process that takes connections. A later start at the
// same address is another endpoint: after a loss of power nothing tells that the
// connections to the earlier one are gone.
type Endpoint struct {
	Address string
	Start   int64 // differs between starts; 0 if unknown
}

// Pool keeps idle connections to targets and relays.
type Pool struct {
	codec Codec
	now   func() time.Duration

	maxIdle int // idle connections that are kept

	mu    sync.Mutex
	idle  map[Endpoint][]*Conn
	count int // of idle connections
}

// NewPool returns an empty pool that keeps so many idle connections at most; now
// is the time since some start.
func NewPool(codec Codec, now func() time.Duration, maxIdle int) *Pool {
	return &Pool{codec: codec, now: now, maxIdle: maxIdle, idle: map[Endpoint][]*Conn{}}
}

// Get returns an idle connection, the one used last first, nil if there is none.
func (p *Pool) Get(to Endpoint, repeatable bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[to]
	for len(list) > 0 {
		u := list[len(list)-1]
		keep := u.keepAlive
		if keep == 0 {
			keep = defaultKeepAlive
		}
		age := p.now() - u.lastUsed
		if !repeatable && age > time.Duration(float64(keep)*keepAliveFraction) || age > min(keep, maxIdleTime) {
			if repeatable {
				go u.Close()
				list = list[:len(list)-1]
				p.count--
				continue
			}
			break // older ones are below it
		}
		list = list[:len(list)-1]
		p.count--
		p.idle[to] = list
		if u.usable() {
			return u
		}
	}
	p.idle[to] = list
	return nil
}

// Dial opens a new connection.
func (p *Pool) Dial(to Endpoint, timeout time.Duration) (*Conn, error) {
	u, err := dial(to, timeout)
	if err != nil {
		return nil, err
	}
	u.codec = p.codec
	u.onDead = p.remove
	go u.readLoop()
	return u, nil
}

// Put keeps a connection whose response was read in full.
func (p *Pool) Put(u *Conn) {
	u.lastUsed, u.fresh = p.now(), false
	u.resume <- true
	if !u.usable() {
		u.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count >= p.maxIdle {
		go u.Close()
		return
	}
	p.idle[u.to] = append(p.idle[u.to], u)
	p.count++
}

// Forget closes all idle connections to an endpoint.
func (p *Pool) Forget(to Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.idle[to] {
		go u.Close()
	}
	p.count -= len(p.idle[to])
	delete(p.idle, to)
}

// Size is the number of idle connections.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

func (p *Pool) remove(u *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[u.to]
	for i, o := range list {
		if o == u {
			p.idle[u.to] = append(list[:i:i], list[i+1:]...)
			p.count--
			break
		}
	}
	if len(p.idle[u.to]) == 0 {
		delete(p.idle, u.to)
	}
}
