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
	callTimeout  = 8 * time.Second
	pollInterval = 30 * time.Millisecond
)

var client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}}

// reply is what a caller sees; an empty outcome means no answer.
type reply struct {
	status  int
	outcome string
	body    string
}

// send sends one request; header holds names and values in turn.
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

// eventually waits for a state that must come.
func (d *deployment) eventually(what string, ok func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			d.t.Fatalf("did not happen within %s: %s", waitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

func (d *deployment) waitServing() {
	d.t.Helper()
	for _, name := range d.hostNames(bundle.RoleEntry, "") {
		d.eventually(name+" serves", func() bool { return d.read(name).outcome == "done" })
		d.eventually(name+" books", func() bool { return d.book(name, newKey()).outcome == "done" })
	}
}

// submit signs a version as an operator and sends it to one control host.
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

// mustRollout submits a version again and again until it is accepted.
func (d *deployment) mustRollout(b *bundle.Bundle) {
	d.t.Helper()
	last := ""
	d.eventually("version accepted", func() bool {
		for _, name := range d.hostNames(bundle.RoleControl, "") {
			status, text := d.submit("first", name, b, d.root)
			if status == http.StatusOK {
				d.current, d.root = b, b.Root()
				return true
			}
			if last = fmt.Sprint(status, " ", text); status == http.StatusConflict {
				d.t.Fatalf("version %d refused: %s", b.Version, last)
			}
		}
		return false
	})
}

// next returns the newest version with the next number and another drain.
func (d *deployment) next(drain string) *bundle.Bundle {
	b := *d.current
	b.Version++
	b.Drains = nil
	if drain != "" {
		b.Drains = []bundle.Drain{{Kind: bundle.DrainTarget, Name: drain}}
	}
	return &b
}

// versionAt returns the bundle version in force at an entry host, 0 if it does not answer.
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

// leader returns the leader as a control host names it.
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

// waitLeader returns the leader once a control host other than those left out names one.
func (d *deployment) waitLeader(without ...string) string {
	d.t.Helper()
	found := ""
	d.eventually("a leader", func() bool {
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

// runs sums the runs by key over all targets, and the requests above slots.
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
