package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// refusalStatuses are the statuses by which a caller learns that its request was not run.
var refusalStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// ways are the ways of a request to its target.
var ways = map[way]func(*testing.T, *fixture){
	viaDirect: func(*testing.T, *fixture) {},
	viaRelay:  func(t *testing.T, f *fixture) { f.relayAt(startRelay(t, true)) },
}

// failsWith answers each request with a status, after it was run.
func failsWith(status int, body string) nettest.Script {
	return func(_ *nettest.Target, conn net.Conn, r *http.Request) {
		answer(conn, status, r.Header.Get("Id"), body, "Retry-After: 1")
	}
}

// Guards against telling callers that a request was not run when a target that has run it
// answers with a status that says so to callers, but does not state it itself.
func TestUnconfirmedRefusalIsNoRefusal(t *testing.T) {
	for way, use := range ways {
		for _, kind := range []policy.Kind{policy.Safe, policy.Unsafe, policy.Download} {
			for _, status := range refusalStatuses {
				for _, size := range []int{0, 10, 2 * bufferedAnswer} {
					t.Run(fmt.Sprintf("%s/%s/%d/%d bytes", way, kind, status, size), func(t *testing.T) {
						fails := failsWith(status, strings.Repeat("x", size))
						f := newFixture(t, fails, fails, fails)
						use(t, f)
						r, body := f.do("POST", "/"+kind.String()+"/x", "1", "hello")
						if r.StatusCode != http.StatusBadGateway || r.Header.Get("Retry-After") != "" || strings.Contains(body, "x") {
							t.Errorf("the caller got %d with headers %v and body %.40q, want 502 of the gateway's own", r.StatusCode, r.Header, body)
						}
						if r.Header.Get("Id") != "1" {
							t.Errorf("the answer names request %q", r.Header.Get("Id"))
						}
						runs := 1
						if kind.Idempotent() {
							runs = 2
						}
						f.checkRuns("1", runs)
					})
				}
			}
		}
	}
}

// checkRuns checks how many times the targets have read a request.
func (f *fixture) checkRuns(id string, want int) {
	f.t.Helper()
	runs := 0
	for _, target := range f.targets {
		for _, got := range ids(target) {
			if got == id {
				runs++
			}
		}
	}
	if runs != want {
		f.t.Errorf("request %s was run %d times, want %d", id, runs, want)
	}
}

// Guards against the opposite: a refusal that the target states itself is passed to another
// target, and to the caller as a refusal if none takes the request.
func TestStatedRefusalIsARefusal(t *testing.T) {
	for way, use := range ways {
		for _, status := range append([]int{http.StatusMisdirectedRequest}, refusalStatuses...) {
			t.Run(fmt.Sprintf("%s/%d", way, status), func(t *testing.T) {
				refuses := func(_ *nettest.Target, conn net.Conn, r *http.Request) {
					answer(conn, status, r.Header.Get("Id"), "", "Not-Run: 1")
				}
				f := newFixture(t, refuses, refuses)
				use(t, f)
				r, _ := f.do("POST", "/unsafe/x", "1", "hello")
				if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") == "" {
					t.Errorf("the caller got %d with headers %v, want a refusal", r.StatusCode, r.Header)
				}
				f.checkRuns("1", 2)
			})
		}
	}
}

// Guards against an idempotent request that fails although another target serves it, and
// against requests behind it that get no answer.
func TestRequestsBehindAnUnconfirmedRefusal(t *testing.T) {
	for way, use := range ways {
		t.Run(string(way), func(t *testing.T) {
			f := newFixture(t, ok, ok)
			f.targets[f.order(policy.Safe)[0]].Script = func(target *nettest.Target, conn net.Conn, r *http.Request) {
				if r.Header.Get("Id") == "1" {
					failsWith(http.StatusServiceUnavailable, "failed")(target, conn, r)
					return
				}
				ok(target, conn, r)
			}
			use(t, f)
			conn, br := f.dial()
			for _, id := range []string{"1", "2", "3"} {
				fmt.Fprint(conn, request("POST", "/safe/x", id, ""))
			}
			for _, id := range []string{"1", "2", "3"} {
				if r, body := f.read(br); r.StatusCode != 200 || r.Header.Get("Id") != id {
					t.Errorf("request %s got %d for %q with body %q", id, r.StatusCode, r.Header.Get("Id"), body)
				}
			}
		})
	}
}
