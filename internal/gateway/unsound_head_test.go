package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// Guards against a caller that is told "not run", or another status than its target's, since
// the start of an earlier refusal stands before the answer (review case 12).
func TestStartOfARefusalBeforeAnAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: 1\r\n"
	for way, use := range ways {
		for _, kind := range []policy.Kind{policy.Unsafe, policy.Safe} {
			for _, length := range []int{5, 20, len(refusal) - 30, len(refusal) - 3, len(refusal)} {
				t.Run(fmt.Sprintf("%s/%s/%d bytes", way, kind, length), func(t *testing.T) {
					f := newFixture(t, ok, ok)
					f.targets[f.order(kind)[0]].Script = func(target *nettest.Target, conn net.Conn, r *http.Request) {
						if r.Header.Get("Id") == "2" {
							_, _ = io.WriteString(conn, refusal[:length]) // the answer shows whether it arrived
						}
						ok(target, conn, r)
					}
					use(t, f)
					if r, _ := f.do("POST", "/"+kind.String()+"/x", "1", ""); r.StatusCode != http.StatusOK {
						t.Fatalf("the first request got %d", r.StatusCode)
					}
					f.awaitKept(1)
					r, body := f.do("POST", "/"+kind.String()+"/x", "2", "")
					want, runs := http.StatusBadGateway, 1
					if kind == policy.Safe {
						want, runs = http.StatusOK, 2
					}
					if r.StatusCode != want {
						t.Errorf("the caller got %d %q, want %d", r.StatusCode, body, want)
					}
					f.checkRuns("2", runs)
					if n := metrics.GetOrRegisterCounter("answer.unsound_head", f.gateway.Metrics()).Count(); way == viaDirect && n != 1 {
						t.Errorf("%d unsound heads are counted, want 1", n)
					}
				})
			}
		}
	}
}

// Guards against an answer of a relay that says twice what became of the request.
func TestTwoOutcomesOfARelay(t *testing.T) {
	f := newFixture(t, ok)
	f.relayAt(brokenRelay(t, func(conn net.Conn) {
		answer(conn, http.StatusBadGateway, "1", "", "Hornbeam-Outcome: unreached", "Hornbeam-Outcome: broken")
	}))
	if r, body := f.do("POST", "/unsafe/x", "1", ""); r.StatusCode != http.StatusBadGateway {
		t.Errorf("the caller got %d %q, want 502", r.StatusCode, body)
	}
}
