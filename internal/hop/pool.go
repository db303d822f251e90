package hop

import (
	"sync"
	"time"
)

const (
	// keepAliveUse is the part of a target's idle timeout after which a
	// connection is not used for requests that may not be repeated.
	keepAliveUse = 0.7
	// defaultKeepAlive is assumed of targets that do not state their timeout.
	defaultKeepAlive = 10 * time.Second
	// idleLimit bounds how long a connection is kept for later requests.
	idleLimit = 30 * time.Second
)

// Pool keeps idle connections to targets by address.
type Pool struct {
	codec Codec
	now   func() time.Duration

	most int // idle connections that are kept

	mu    sync.Mutex
	idle  map[string][]*Conn
	count int // of idle connections
}

// NewPool returns an empty pool that keeps so many idle connections at most; now
// is the time since some start.
func NewPool(codec Codec, now func() time.Duration, most int) *Pool {
	return &Pool{codec: codec, now: now, most: most, idle: map[string][]*Conn{}}
}

// Get returns an idle connection, the one used last first, nil if there is none.
func (p *Pool) Get(address string, repeatable bool) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		u := list[len(list)-1]
		keep := u.keepAlive
		if keep == 0 {
			keep = defaultKeepAlive
		}
		age := p.now() - u.used
		if !repeatable && age > time.Duration(float64(keep)*keepAliveUse) || age > min(keep, idleLimit) {
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
		p.idle[address] = list
		if u.usable() {
			return u
		}
	}
	p.idle[address] = list
	return nil
}

// Dial opens a new connection.
func (p *Pool) Dial(address string, timeout time.Duration) (*Conn, error) {
	u, err := dial(address, timeout)
	if err != nil {
		return nil, err
	}
	u.codec = p.codec
	u.onDead = p.drop
	go u.readLoop()
	return u, nil
}

// Put keeps a connection whose response was read in full.
func (p *Pool) Put(u *Conn) {
	u.used, u.fresh = p.now(), false
	u.resume <- true
	if !u.usable() {
		u.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count >= p.most {
		go u.Close()
		return
	}
	p.idle[u.address] = append(p.idle[u.address], u)
	p.count++
}

// Forget closes all idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.idle[address] {
		go u.Close()
	}
	p.count -= len(p.idle[address])
	delete(p.idle, address)
}

// Size is the number of idle connections.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

func (p *Pool) drop(u *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[u.address]
	for i, o := range list {
		if o == u {
			p.idle[u.address] = append(list[:i:i], list[i+1:]...)
			p.count--
			break
		}
	}
	if len(p.idle[u.address]) == 0 {
		delete(p.idle, u.address)
	}
}
