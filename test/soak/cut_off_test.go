package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// Times and bounds of a partition between entry hosts and all targets.
const (
	cutLength    = 9 * time.Second // at least; on a busy machine the cut lasts until there are leastSamples
	cutContact   = 4 * time.Second // from then on the hosts have to serve like the others
	leastServed  = 0.98            // of the share that the other hosts serve
	leastSamples = 20              // requests of a kind at each host
	// callerTimeout is how long callers wait, and the timeout of the routes: a busy machine
	// alone fails no request.
	callerTimeout = 20 * time.Second
)

// entries returns the entry hosts.
func (d *deployment) entries() []*member { return d.members[controlHosts:] }

// zoneOf returns the availability zone of member i, as configure sets it.
func zoneOf(i int) int { return i % 3 }

// cutOff cuts an entry host off from targets, or ends that.
func cutOff(m *member, targets []*target, f fault) {
	for _, t := range targets {
		t.relay.cut(m.ip, f)
	}
}

// cutOffEntryHosts cuts one entry host or all of a zone off from all targets for a while,
// beside one in four of the other faults.
func (d *deployment) cutOffEntryHosts(wg *sync.WaitGroup) {
	if d.cuts.IntN(4) > 0 {
		return
	}
	mode := []fault{resets, blackholed, refused}[d.cuts.IntN(3)]
	first, whole := d.cuts.IntN(entryHosts), d.cuts.IntN(2) == 0
	pause := time.Duration(500+d.cuts.IntN(3000)) * time.Millisecond
	targets := slices.Clone(d.targets) // a spare one may be added meanwhile
	for i, m := range d.entries() {
		if i == first || whole && zoneOf(controlHosts+i) == zoneOf(controlHosts+first) {
			cutOff(m, targets, mode)
			wg.Go(func() { time.Sleep(pause); cutOff(m, targets, noFault); d.markFault() })
		}
	}
}

// tally counts the requests of one kind at some hosts.
type tally struct{ sent, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// tallies counts requests by kind, at the hosts that are cut off and at the others.
type tallies struct {
	mu     sync.Mutex
	counts map[bool]map[string]*tally // by whether the host is cut off
}

func (t *tallies) add(cut bool, kind string, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.counts[cut][kind]
	if !ok {
		c = &tally{}
		t.counts[cut][kind] = c
	}
	c.sent++
	if served {
		c.served++
	}
}

// Guards against entry hosts that are cut off from all targets and serve their callers less
// than other entry hosts do, for any kind of request, size of body or mode of the cut.
func TestEntryHostsCutOffFromTargets(t *testing.T) {
	for seed, mode := range map[uint64]fault{201: resets, 202: blackholed, 203: refused} {
		t.Run(fmt.Sprint("mode ", mode), func(t *testing.T) {
			t.Parallel()
			runCut(t, seed, mode)
		})
	}
}

// runCut cuts all entry hosts of a zone off and compares what they and the others serve.
func runCut(t *testing.T, seed uint64, mode fault) {
	d := newDeployment(t, seed)
	d.routeTimeout = callerTimeout
	defer d.stop()
	d.startTargets(6)
	d.await("the first version is acknowledged", func() bool { return d.submitVersion(1, 1) })
	for i := range d.entries() {
		d.await("every entry host serves", func() bool { served, _ := d.once(nil, i, "safe", fmt.Sprint("first", i), 10); return served })
	}
	counts := &tallies{counts: map[bool]map[string]*tally{true: {}, false: {}}}
	begun := time.Now()
	isCut := func(i int) bool { return zoneOf(controlHosts+i) == zoneOf(controlHosts) }
	for i, m := range d.entries() {
		if isCut(i) {
			cutOff(m, d.targets, mode)
		}
	}
	var wg sync.WaitGroup
	for i := range d.entries() {
		for _, kind := range []string{"safe", "unsafe", "download"} {
			for _, size := range []int{1 << 10, 100 << 10, 2 << 20} {
				wg.Go(func() { d.load(counts, begun, i, isCut(i), kind, size) })
			}
		}
	}
	wg.Wait()
	for kind, c := range counts.counts[true] {
		other := counts.counts[false][kind]
		t.Logf("%s: %d of %d at the hosts that were cut off, %d of %d at the others", kind, c.served, c.sent, other.served, other.sent)
		if c.share() < leastServed*other.share() {
			t.Errorf("%s: served %.3f of %d requests at the hosts that were cut off, %.3f at the others", kind, c.share(), c.sent, other.share())
		}
	}
}

// load sends requests of a kind to one entry host while the cut lasts and until leastSamples
// are counted, every other one on a kept connection. It counts those that begin later than
// cutContact.
func (d *deployment) load(counts *tallies, begun time.Time, entry int, cut bool, kind string, size int) {
	label := fmt.Sprintf("%s, %d KB", kind, size>>10)
	var kept net.Conn
	for i, samples := 0, 0; time.Since(begun) < cutLength || samples < leastSamples; i++ {
		counted := time.Since(begun) > cutContact
		conn := kept
		if i%2 == 0 {
			conn = nil
		}
		served, open := d.once(conn, entry, kind, fmt.Sprintf("%s-%d-%d-%d", kind, entry, size, i), size)
		if i%2 == 0 {
			kept = open
		} else if open == nil {
			kept = nil
		}
		if counted {
			samples++
			counts.add(cut, label, served)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if kept != nil {
		_ = kept.Close()
	}
}

// once sends a request to an entry host, on conn or on a new connection if that is nil. It
// returns whether the request was served and the connection if it is still open.
func (d *deployment) once(conn net.Conn, entry int, kind, id string, size int) (served bool, open net.Conn) {
	if conn == nil {
		var err error
		if conn, err = net.DialTimeout("tcp", d.fronts[entry], time.Second); err != nil {
			return false, nil
		}
	}
	payload := strings.Repeat("p", size)
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	go func(to net.Conn) { // the entry host may answer before it has read the whole body
		_, _ = fmt.Fprintf(to, "POST /%s/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCookie: Affinity-Key=%d\r\nContent-Length: %d\r\n\r\n%s",
			kind, id, callerTimeout.Milliseconds(), len(id)%7, len(payload), payload)
	}(conn)
	s := sent{id: id}
	if s.read(bufio.NewReader(conn), payload) {
		_ = conn.Close()
		conn = nil
	}
	if strings.HasPrefix(s.body, "wrong") {
		d.t.Errorf("request %s got a wrong response: %.60s", id, s.body)
	}
	if s.status != http.StatusOK {
		d.t.Logf("request %s got status %d: %.80s", id, s.status, s.body)
	}
	return s.status == http.StatusOK, conn
}
