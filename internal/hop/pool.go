package hop

import (
	"net"
	"sync"
	"time"
)

const (
	// keepAliveFraction is the fraction of a target's keep-alive timeout after which an
	// idle connection is no longer used for requests that must not be repeated: the
	// target may close it just as the request is sent.
	keepAliveFraction = 0.7
	// defaultKeepAlive is assumed for targets that do not state their timeout.
	defaultKeepAlive = 10 * time.Second
	// maxIdleTime limits how long an idle connection is kept.
	maxIdleTime = 30 * time.Second
)

// Endpoint identifies one incarnation of a listening process. A process restarted at
// the same address is a different endpoint: after a power loss nothing signals that
// the connections to the previous incarnation are gone.
type Endpoint struct {
	Address string
	Start   int64 // differs between incarnations; 0 if unknown
}

// Pool keeps idle connections to targets and relays for reuse. It is safe for
// concurrent use.
type Pool struct {
	codec  Codec
	single []string // names of the headers that a response may have once
	now    func() time.Duration

	maxIdle int          // limit of idle connections in total
	local   *net.TCPAddr // source of connections, nil to let the system choose

	mu    sync.Mutex
	idle  map[Endpoint][]*Conn
	count int // idle connections in total
}

// NewPool returns an empty pool that keeps at most maxIdle idle connections. now
// returns the time since a fixed start.
func NewPool(codec Codec, now func() time.Duration, maxIdle int) *Pool {
	return &Pool{codec: codec, single: codec.AnswerHeaders(), now: now, maxIdle: maxIdle, idle: map[Endpoint][]*Conn{}}
}

// Bind sets the source IP of connections, so that a host with several addresses uses its
// configured one. Call it before the first connection.
func (p *Pool) Bind(ip net.IP) {
	if ip != nil {
		p.local = &net.TCPAddr{IP: ip}
	}
}

// Get returns the most recently used idle connection to an endpoint, or nil if there
// is none that is safe to use. repeatable says whether the request may be sent again
// if the target closes the connection meanwhile.
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
			break // the remaining connections are older
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
	u, err := dial(to, p.local, timeout)
	if err != nil {
		return nil, err
	}
	u.codec, u.heads = p.codec, HeadChecker{Single: p.single}
	u.onDead = p.remove
	go u.readLoop()
	return u, nil
}

// Release ends an exchange. Its connection returns to the pool if the request was written
// and its response read, both to the end, and is closed otherwise.
func (p *Pool) Release(e *Exchange) {
	u := e.conn
	if !u.writeMu.TryLock() {
		e.Abort() // a part of the request is still being written
		return
	}
	defer u.writeMu.Unlock()
	clean, ended := e.end(true)
	if !ended {
		return
	}
	if !clean || !p.keep(u, e.keepAlive) {
		u.Close()
		return
	}
	if !u.usable() {
		p.remove(u) // it has ended, or carries a request and is no longer in the pool
	}
}

// keep adds a free connection unless the pool is full.
func (p *Pool) keep(u *Conn, keepAlive time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count >= p.maxIdle {
		return false
	}
	u.lastUsed, u.keepAlive = p.now(), keepAlive
	p.idle[u.to] = append(p.idle[u.to], u)
	p.count++
	return true
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

// Size returns the number of idle connections.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// remove drops a connection that ended while it was idle.
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
