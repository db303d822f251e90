package entry

import (
	"context"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// tollPiece is the largest number of bytes paid for at once, if the links do
// not ask for less. Small pieces let short requests go in between those of a
// bulk transfer.
const tollPiece = 4 << 10

// receiveCharge is paid when a connection to another region is opened: so many
// bytes may arrive before this host has read any.
const receiveCharge = 64 << 10

// toll pays the link share for one connection to another region.
type toll struct {
	links  Links
	region string
	class  traffic.Class
	ctx    context.Context // ends when the connection is closed
	cancel context.CancelFunc

	mu     sync.Mutex
	credit int // inbound bytes paid for and not read yet, beyond receiveCharge
}

func newToll(links Links, region string, class traffic.Class) *toll {
	ctx, cancel := context.WithCancel(context.Background())
	return &toll{links: links, region: region, class: class, ctx: ctx, cancel: cancel}
}

// payOpening pays for what the receive buffer can take in.
func (t *toll) payOpening(ctx context.Context) error {
	for left := receiveCharge; left > 0; {
		n := min(left, t.piece(traffic.Inbound))
		if err := t.links.Wait(ctx, t.region, traffic.Inbound, t.class, n); err != nil {
			return err
		}
		left -= n
	}
	return nil
}

// piece returns how many bytes to pay for at once.
func (t *toll) piece(d traffic.Direction) int {
	if c, ok := t.links.(Chunker); ok {
		return max(1, min(tollPiece, c.Chunk(t.region, d)))
	}
	return tollPiece
}

// payOut pays for bytes that are about to be written.
func (t *toll) payOut(n int) error {
	return t.links.Wait(t.ctx, t.region, traffic.Outbound, t.class, n)
}

// payIn returns how many bytes, up to want, may be read.
func (t *toll) payIn(want int) (int, error) {
	t.mu.Lock()
	credit := t.credit
	t.mu.Unlock()
	if credit == 0 {
		n := t.piece(traffic.Inbound)
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

// used takes bytes that were read from the credit.
func (t *toll) used(n int) {
	t.mu.Lock()
	t.credit -= n
	t.mu.Unlock()
}
