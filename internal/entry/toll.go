package entry

import (
	"context"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// tollPiece is the largest number of bytes paid for at once. Small pieces let
// short requests go in between those of a bulk transfer.
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
	for paid := 0; paid < receiveCharge; paid += tollPiece {
		if err := t.links.Wait(ctx, t.region, traffic.Inbound, t.class, tollPiece); err != nil {
			return err
		}
	}
	return nil
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
		if err := t.links.Wait(t.ctx, t.region, traffic.Inbound, t.class, tollPiece); err != nil {
			return 0, err
		}
		t.mu.Lock()
		t.credit += tollPiece
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
