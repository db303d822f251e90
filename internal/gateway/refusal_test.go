package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
)

// A faulty target may repeat an earlier refusal on a kept connection, with or without
// the id. The caller of the next request must not be told that it was not run, and the
// request must not run at a second target.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	for _, id := range []string{"", "refused"} {
		t.Run("copy with id "+id, func(t *testing.T) {
			faulty := func(target *nettest.Target, conn net.Conn, r *http.Request) {
				switch r.Header.Get("Id") {
				case "refused":
					answer(conn, 503, "refused", "", "Not-Run: 1")
				case "run":
					answer(conn, 503, id, "", "Not-Run: 1")
					ok(target, conn, r)
				default:
					ok(target, conn, r)
				}
			}
			f := newFixture(t, faulty, faulty)
			if r, _ := f.do("POST", "/unsafe/x", "refused", ""); r.StatusCode != 503 {
				t.Fatalf("refused request got status %d", r.StatusCode)
			}
			f.awaitKept(2)
			if r, body := f.do("POST", "/unsafe/x", "run", ""); r.StatusCode != 200 {
				t.Errorf("request that ran got %d %q", r.StatusCode, body)
			}
			runs := 0
			for _, target := range f.targets {
				for _, got := range ids(target) {
					if got == "run" {
						runs++
					}
				}
			}
			if runs != 1 {
				t.Errorf("the request ran %d times, want 1", runs)
			}
		})
	}
}

// The answer to a request without an id cannot be told from a copy of an earlier one
// on the same connection, so such a request must not use a kept one.
func TestRequestsWithoutIDUseNewConnections(t *testing.T) {
	f := newFixture(t, ok)
	for i := range 3 {
		id := []string{"1", "", ""}[i]
		if r, body := f.do("POST", "/unsafe/x", id, fmt.Sprint(i)); r.StatusCode != 200 || body != fmt.Sprint("t0:", i) {
			t.Fatalf("request %d got %d %q", i, r.StatusCode, body)
		}
		f.awaitKept(i + 1)
	}
	if got := ids(f.targets[0]); !slices.Equal(got, []string{"1", "", ""}) {
		t.Errorf("the target read the requests %q", got)
	}
}
