package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// FuzzDecodeAnnouncement guards against invalid announcements that are accepted
// and valid ones that change when they are encoded again.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(goodAnnouncement))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := decodeAnnouncement(bytes.NewReader(body))
		if err != nil {
			return
		}
		if a.Slots < 1 || a.Connections < 1 || a.Incarnation == 0 || !a.Address.IsValid() || a.Load < 0 {
			t.Fatalf("invalid announcement was accepted: %+v", a)
		}
		again, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		b, err := decodeAnnouncement(bytes.NewReader(again))
		if err != nil || a != b {
			t.Fatalf("announcement %+v was encoded and decoded as %+v, error %v", a, b, err)
		}
	})
}

// FuzzParseCall guards against headers that lead to a key in non-canonical form
// or a deadline beyond the service's timeout, and against hop-by-hop headers that
// are passed on to the target.
func FuzzParseCall(f *testing.F) {
	f.Add([]byte("POST /s/bookings/rooms?q=1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: 0192F0C0-7A00-7000-8000-000000000001\r\n" +
		"Hornbeam-Timeout-Ms: 250\r\nHornbeam-Class: bulk\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\n\r\n"))
	f.Add([]byte("GET /s/bookings/export/%2e%2e//a?b HTTP/1.0\r\nHornbeam-Timeout-Ms: 99999999999\r\n\r\n"))
	service := bundle.Service{Name: "bookings", RequestTimeoutMs: 1000, RepeatableMethods: []string{"GET"}, BulkPrefixes: []string{"/export"}}
	now := time.Unix(1_800_000_000, 0)
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		checkForwarded(t, r.Header)
		c, problem := parseCall(r, fakeDirectory{service}, now)
		if problem != nil {
			if problem.Outcome != OutcomeNotRun || problem.Status < 400 {
				t.Fatalf("refusal is not an error with outcome not-run: %+v", problem)
			}
			return
		}
		if !c.deadline.After(now) || c.deadline.After(now.Add(time.Second)) {
			t.Fatalf("deadline is %s from now, want more than 0 and at most 1s", c.deadline.Sub(now))
		}
		if c.key != "" && (len(c.key) != keyLength || c.key != strings.ToLower(c.key) || c.key[14] != '7' || c.repeatable) {
			t.Fatalf("key %q is not canonical, or the request needs none", c.key)
		}
		if !strings.HasPrefix(c.path, "/") {
			t.Fatalf("path %q does not begin with a slash", c.path)
		}
	})
}

func checkForwarded(t *testing.T, in http.Header) {
	out := endToEnd(in)
	for name := range out {
		if slices.Contains(hopByHop, name) || slices.Contains(ownHeaders, name) {
			t.Fatalf("header %s must not be passed on", name)
		}
	}
	for _, value := range in["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if _, ok := out[http.CanonicalHeaderKey(strings.TrimSpace(name))]; ok {
				t.Fatalf("header %s is passed on although Connection names it", name)
			}
		}
	}
}
