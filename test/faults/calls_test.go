package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	callTimeout  = 8 * time.Second       // of one HTTP request
	pollInterval = 30 * time.Millisecond // between polls and between resends
)

var client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}

// reply is the response that a caller got. Status is 0 and outcome empty if there was
// no complete response.
type reply struct {
	status  int
	outcome string
	body    string
}

// send sends one request. The arguments in header alternate between names and values.
func send(method, url, key string, header ...string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return reply{}
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	return reply{resp.StatusCode, resp.Header.Get("Hornbeam-Outcome"), string(body)}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// book sends a booking through an entry host.
func (d *deployment) book(entry, key string) reply {
	return send(http.MethodPost, "http://"+d.host(entry).HTTP+"/s/bookings/book", key)
}

// read sends a repeatable request through an entry host.
func (d *deployment) read(entry string) reply {
	return send(http.MethodGet, "http://"+d.host(entry).HTTP+"/s/bookings/diary", "")
}

// eventually polls ok until it holds and ends the test if it does not within waitTimeout.
func (d *deployment) eventually(what string, ok func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out after %s waiting for: %s", waitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// waitServing waits until every entry host serves reads and bookings.
func (d *deployment) waitServing() {
	d.t.Helper()
	for _, name := range d.hostNames(bundle.RoleEntry, "") {
		d.eventually(name+" serves", func() bool { return d.read(name).outcome == "done" })
		d.eventually(name+" books", func() bool { return d.book(name, newKey()).outcome == "done" })
	}
}

// submit signs a version as an operator and submits it to one control host. It returns
// the status and body of the response, 0 and the error text if there is none.
func (d *deployment) submit(operator, control string, b *bundle.Bundle, previous bundle.Digest) (int, string) {
	header := bundle.Sign(b.Version, previous, b.Root(), operator, d.keys[operator])
	signed, err := bundle.NewSigned(header, b, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	body, err := json.Marshal(signed)
	if err != nil {
		d.t.Fatal(err)
	}
	resp, err := client.Post("http://"+d.host(control).HTTP+"/v1/bundles", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// mustRollout submits a version to the control hosts in turn until one accepts it. A
// refusal ends the test.
func (d *deployment) mustRollout(b *bundle.Bundle) {
	d.t.Helper()
	last := ""
	d.eventually("a control host accepts the version", func() bool {
		for _, name := range d.hostNames(bundle.RoleControl, "") {
			status, text := d.submit("first", name, b, d.root)
			if status == http.StatusOK {
				d.current, d.root = b, b.Root()
				return true
			}
			if last = fmt.Sprint(status, " ", text); status == http.StatusConflict {
				d.t.Fatalf("control host refused version %d: %s", b.Version, last)
			}
		}
		return false
	})
}

// next returns a copy of the current version with the next version number. Its only
// drain is that of the target named by drain; an empty name means no drain.
func (d *deployment) next(drain string) *bundle.Bundle {
	b := *d.current
	b.Version++
	b.Drains = nil
	if drain != "" {
		b.Drains = []bundle.Drain{{Kind: bundle.DrainTarget, Name: drain}}
	}
	return &b
}

// versionAt returns the bundle version in force at an entry host, 0 if there is no
// valid response.
func (d *deployment) versionAt(entry string) uint64 {
	var answer struct {
		Version uint64 `json:"version"`
	}
	got := send(http.MethodGet, "http://"+d.host(entry).HTTP+"/v1/lookup?service=bookings", "")
	if got.status != http.StatusOK || json.Unmarshal([]byte(got.body), &answer) != nil {
		return 0
	}
	return answer.Version
}

// leader returns the leader that a control host reports, "" if it knows none or its
// information is stale.
func (d *deployment) leader(control string) string {
	var answer struct {
		Leader string `json:"leader"`
		Stale  bool   `json:"stale"`
	}
	got := send(http.MethodGet, "http://"+d.host(control).HTTP+"/v1/status", "")
	if got.status != http.StatusOK || json.Unmarshal([]byte(got.body), &answer) != nil || answer.Stale {
		return ""
	}
	return answer.Leader
}

// waitLeader waits until a control host reports a leader and returns it. The hosts in
// without are neither asked nor accepted as the leader.
func (d *deployment) waitLeader(without ...string) string {
	d.t.Helper()
	found := ""
	d.eventually("a control host reports a leader", func() bool {
		for _, name := range d.hostNames(bundle.RoleControl, "") {
			if strings.Contains(strings.Join(without, " "), name) {
				continue
			}
			if found = d.leader(name); found != "" && !strings.Contains(strings.Join(without, " "), found) {
				return true
			}
		}
		return false
	})
	return found
}

// runs returns, summed over all targets, how often each idempotency key ran and how
// many requests arrived while all slots were taken.
func (d *deployment) runs() (byKey map[string]int, aboveSlots int) {
	byKey = map[string]int{}
	for _, address := range d.targets {
		var stats standin.Stats
		got := send(http.MethodGet, "http://"+address+"/standin/stats", "")
		if err := json.Unmarshal([]byte(got.body), &stats); err != nil {
			d.t.Fatalf("stats of target %s: %v", address, err)
		}
		for key, n := range stats.Runs {
			byKey[key] += n
		}
		aboveSlots += stats.AboveSlots
	}
	return byKey, aboveSlots
}
