package rig

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkDelay is the delay of a link one way, that between two regions of kll-limits.
const linkDelay = 12 * time.Millisecond

// Link is the link between a caller and a machine, which can freeze. A frozen machine
// acknowledges nothing, so that TCP holds the bytes back and sends them again once it is
// awake. A close follows its bytes one round trip later, when they are acknowledged.
type Link struct {
	rig      *Rig
	to       string
	listener net.Listener

	mu    sync.Mutex
	awake *sync.Cond
	held  bool
}

// NewLink returns a link to an address.
func (r *Rig) NewLink(to string) *Link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Cannot("link: %v", err)
	}
	link := &Link{rig: r, to: to, listener: l}
	link.awake = sync.NewCond(&link.mu)
	go link.accept()
	return link
}

// Address returns the address by which the caller reaches the machine.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Hold begins the freeze of the machine.
func (l *Link) Hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
}

// Release ends the freeze of the machine.
func (l *Link) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.awake.Broadcast()
}

// await waits while the machine is frozen. It reports whether it was.
func (l *Link) await() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	frozen := l.held
	for l.held {
		l.awake.Wait()
	}
	return frozen
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		go l.carry(far, near)
		go l.carry(near, far)
	}
}

// carry passes bytes on, and then the close.
func (l *Link) carry(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		time.Sleep(linkDelay)
		l.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err == io.EOF {
			time.Sleep(2 * linkDelay) // until the last bytes are acknowledged
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
