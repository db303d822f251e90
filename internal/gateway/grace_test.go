package gateway

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// A target that finishes a request within its time must not have its answer replaced by
// a failure because the way back takes until after the route's timeout.
func TestAnswersFinishedInTimeAreDelivered(t *testing.T) {
	script := func(target *nettest.Target, conn net.Conn, r *http.Request) {
		left, _ := strconv.Atoi(r.Header.Get("Left"))
		time.Sleep(time.Duration(left+10) * time.Millisecond)
		ok(target, conn, r)
	}
	f := newFixture(t, script)
	f.gateway.answerGrace = time.Minute
	if r, body := f.do("POST", "/unsafe/x", "1", ""); r.StatusCode != 200 {
		t.Errorf("answer just after the timeout: got %d %q", r.StatusCode, body)
	}
	f.gateway.answerGrace = 0
	if r, _ := f.do("POST", "/unsafe/x", "2", ""); r.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("answer after the grace: got %d, want 504", r.StatusCode)
	}
}
