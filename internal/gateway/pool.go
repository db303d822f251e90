package gateway

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

// pool keeps idle connections to targets by address.
type pool struct {
	codec Codec
	now   func() time.Duration

	mu   sync.Mutex
	idle map[string][]*upstream
}

func newPool(codec Codec, now func() time.Duration) *pool {
	return &pool{codec: codec, now: now, idle: map[string][]*upstream{}}
}

// get returns an idle connection, the one used last first, nil if there is none.
func (p *pool) get(address string, repeatable bool) *upstream {
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
				go u.close()
				list = list[:len(list)-1]
				continue
			}
			break // older ones are below it
		}
		list = list[:len(list)-1]
		p.idle[address] = list
		if u.usable() {
			return u
		}
	}
	p.idle[address] = list
	return nil
}

// dial opens a new connection.
func (p *pool) dial(address string, timeout time.Duration) (*upstream, error) {
	u, err := dialTarget(address, timeout)
	if err != nil {
		return nil, err
	}
	u.codec = p.codec
	u.onDead = func(u *upstream) { p.drop(address, u) }
	go u.readLoop()
	return u, nil
}

// put keeps a connection whose response was read in full.
func (p *pool) put(address string, u *upstream) {
	u.used, u.fresh = p.now(), false
	u.resume <- true
	if !u.usable() {
		u.close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], u)
}

// size is the number of idle connections.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

func (p *pool) drop(address string, u *upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, o := range list {
		if o == u {
			p.idle[address] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
}
