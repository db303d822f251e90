package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// losablePermits grants permits that are all lost once lost is closed.
type losablePermits struct {
	*fakePermits
	lost chan struct{}
}

type losablePermit struct {
	Permit
	lost chan struct{}
}

func (p *losablePermit) Lost() <-chan struct{} { return p.lost }

func (p *losablePermits) Acquire(ctx context.Context, r PermitRequest) (Permit, error) {
	granted, err := p.fakePermits.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return &losablePermit{Permit: granted, lost: p.lost}, nil
}

// TestPermitLostBeforeFirstByte guards against a request that holds a slot which the
// coordinator has given away, because the loss goes unnoticed while the start of a
// response is buffered.
func TestPermitLostBeforeFirstByte(t *testing.T) {
	Convey("A stalled response whose permit is lost ends with an unknown outcome", t, func() {
		lost := make(chan struct{})
		var once sync.Once
		target := nettest.StartTarget(t, func(_ *nettest.Target, conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart") // the host reads it or fails the test
			once.Do(func() { close(lost) })
			<-t.Context().Done()
		})
		h := startHost(t, []string{target.Address()}, func(c *Config, _ *bundle.Service) {
			c.Permits = &losablePermits{fakePermits: c.Permits.(*fakePermits), lost: lost}
		})
		got := h.do("POST", "/s/bookings/rooms", "", "")
		So(got.err, ShouldBeNil)
		So(got.status, ShouldEqual, 502)
		So(got.outcome, ShouldEqual, OutcomeUnknown)
		So(h.freed(1), ShouldResemble, []slots.Outcome{slots.OutcomeFailed})
	})
}
