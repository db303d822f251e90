package entry

import (
	"context"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// maxChunk is the largest number of bytes paid for at once, if the links do
// not ask for less. Small pieces let short requests go in between those of a
// bulk transfer.
const maxChunk = 4 << 10

// reservedReceiveBytes is paid when a connection to another region is opened: so many
// bytes may arrive before this host has read any.
const reservedReceiveBytes = 64 << 10

// linkLimiter pays the link share for one connection to another region.
type linkLimiter struct {
	links  Links
	region string
	class  traffic.Class
	ctx    context.Context // ends when the connection is closed
	cancel context.CancelFunc

	mu     sync.Mutex
	credit int // inbound bytes paid for and not read yet, beyond receiveCharge
}

func newLinkLimiter(links Links, region string, class traffic.Class) *linkLimiter {
	ctx, cancel := context.WithCancel(context.Background())
	return &linkLimiter{links: links, region: region, class: class, ctx: ctx, cancel: cancel}
}

// reserveReceiveBuffer pays for what the receive buffer can take in.
func (t *linkLimiter) reserveReceiveBuffer(ctx context.Context) error {
	for left := reservedReceiveBytes; left > 0; {
		n := min(left, t.chunk(traffic.Inbound))
		if err := t.links.Wait(ctx, t.region, traffic.Inbound, t.class, n); err != nil {
			return err
		}
		left -= n
	}
	return nil
}

// chunk returns how many bytes to pay for at once.
func (t *linkLimiter) chunk(d traffic.Direction) int {
	if c, ok := t.links.(Chunker); ok {
		return max(1, min(maxChunk, c.Chunk(t.region, d)))
	}
	return maxChunk
}

// waitOutbound pays for bytes that are about to be written.
func (t *linkLimiter) waitOutbound(n int) error {
	return t.links.Wait(t.ctx, t.region, traffic.Outbound, t.class, n)
}

// waitInbound returns how many bytes, up to want, may be read.
func (t *linkLimiter) waitInbound(want int) (int, error) {
	t.mu.Lock()
	credit := t.credit
	t.mu.Unlock()
	if credit == 0 {
		n := t.chunk(traffic.Inbound)
		if err := t.links.Wait(t.ctx, t.region, traffic.Inbound, t.class, n); err != nil {
			return 0, err
		}
		t.mu.Lock()
		t.credit += n
		credit = t.credit
		t.mu.Unlock()
	}
	return min(want, credit), nil
}

// consume takes bytes that were read from the credit.
func (t *linkLimiter) consume(n int) {
	t.mu.Lock()
	t.credit -= n
	t.mu.Unlock()
}
