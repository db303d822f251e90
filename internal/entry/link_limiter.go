package entry

import (
	"context"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// maxChunk is the largest number of bytes to wait for at once, unless the links
// ask for less. Small chunks let short requests go between those of a bulk
// transfer.
const maxChunk = 4 << 10

// reservedReceiveBytes is the number of bytes of link share that opening a
// connection to another region takes: the kernel may receive as many before
// this host reads any.
const reservedReceiveBytes = 64 << 10

// linkLimiter keeps one connection to another region within its link share.
type linkLimiter struct {
	links  Links
	region string
	class  traffic.Class
	ctx    context.Context // ends when the connection is closed
	cancel context.CancelFunc

	mu     sync.Mutex
	credit int // inbound bytes granted by links and not read yet, beyond reservedReceiveBytes
}

func newLinkLimiter(links Links, region string, class traffic.Class) *linkLimiter {
	ctx, cancel := context.WithCancel(context.Background())
	return &linkLimiter{links: links, region: region, class: class, ctx: ctx, cancel: cancel}
}

// reserveReceiveBuffer waits for the link share of the bytes that the receive
// buffer can hold.
func (l *linkLimiter) reserveReceiveBuffer(ctx context.Context) error {
	for left := reservedReceiveBytes; left > 0; {
		n := min(left, l.chunk(traffic.Inbound))
		if err := l.links.Wait(ctx, l.region, traffic.Inbound, l.class, n); err != nil {
			return err
		}
		left -= n
	}
	return nil
}

// chunk returns the number of bytes to wait for at once.
func (l *linkLimiter) chunk(d traffic.Direction) int {
	if c, ok := l.links.(Chunker); ok {
		return max(1, min(maxChunk, c.Chunk(l.region, d)))
	}
	return maxChunk
}

// waitOutbound blocks until n bytes may be written.
func (l *linkLimiter) waitOutbound(n int) error {
	return l.links.Wait(l.ctx, l.region, traffic.Outbound, l.class, n)
}

// waitInbound blocks until bytes may be read and returns their number, at most want.
func (l *linkLimiter) waitInbound(want int) (int, error) {
	l.mu.Lock()
	credit := l.credit
	l.mu.Unlock()
	if credit == 0 {
		n := l.chunk(traffic.Inbound)
		if err := l.links.Wait(l.ctx, l.region, traffic.Inbound, l.class, n); err != nil {
			return 0, err
		}
		l.mu.Lock()
		l.credit += n
		credit = l.credit
		l.mu.Unlock()
	}
	return min(want, credit), nil
}

// consume subtracts n bytes that were read from the credit.
func (l *linkLimiter) consume(n int) {
	l.mu.Lock()
	l.credit -= n
	l.mu.Unlock()
}
