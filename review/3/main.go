// Command 3 shows that servers that are restarted in place get no requests any more, so
// that a route that was added later is not served.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/review/internal/rig"
)

const (
	firstService, addedService = "dele69a", "xano55b"
	firstPath, addedPath       = "/bopu901/2f", "/lohu930/2f"
	rounds                     = 5
	// servedOn is how long a leaving server serves after its ack, a little longer than DrainS.
	servedOn = rig.DrainS + 300*time.Millisecond
	// minRequests is the number of requests on an added route from which the rule holds.
	minRequests = 20
)

// tally counts the requests of the steady state and those served.
type tally struct {
	mu           sync.Mutex
	steady       bool
	sent, served map[string]int // by path
}

func (t *tally) reset(steady bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steady, t.sent, t.served = steady, map[string]int{}, map[string]int{}
}

// shares returns the share of requests served on a route, and their number.
func (t *tally) share(path string) (float64, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.served[path]) / float64(max(1, t.sent[path])), t.sent[path]
}

// request sends a request and counts it if it was sent in the steady state.
func (t *tally) request(r *rig.Rig, edge *rig.Host, path string, object int) {
	t.mu.Lock()
	steady := t.steady
	t.mu.Unlock()
	s := r.Request(edge, "GET", path, object)
	t.mu.Lock()
	defer t.mu.Unlock()
	if steady && t.steady {
		t.sent[path]++
		if s.Status == 200 {
			t.served[path]++
		}
	}
}

func main() {
	r := rig.Start(2)
	for i, zone := range []string{"colombo-a", "kandy-a", "galle-a"} {
		r.NewServer(fmt.Sprintf("i-7f3a91c%d", i), firstService, zone, 20+i, 10*time.Millisecond)
	}
	var added []*rig.Server
	for i, zone := range []string{"kandy-a", "galle-a", "colombo-a"} {
		added = append(added, r.NewServer(fmt.Sprintf("i-02d9e6b%d", i), addedService, zone, 30+i, 10*time.Millisecond))
	}
	services := []string{firstService, addedService}
	first := rig.Route{Name: "r-h2b9wu3", Kind: "safe", Prefix: "/bopu901/", Service: firstService, TimeoutS: 1}
	later := rig.Route{Name: "r-ji9n73h", Kind: "safe", Prefix: "/lohu930/", Service: addedService, TimeoutS: 1}
	r.Order("version 1", "PUT", "/v1/config", rig.Config(1, services, []rig.Route{first}), 0)
	r.Founded()
	r.AwaitReady()
	r.Order("version 2, which adds a route", "PUT", "/v1/config", rig.Config(2, services, []rig.Route{first, later}), 1)
	t := &tally{}
	t.reset(false)
	go func() {
		for i := 0; ; i++ {
			time.Sleep(4 * time.Millisecond)
			path := firstPath
			if i%2 == 0 {
				path = addedPath
			}
			go t.request(r, r.Edges[i/2%len(r.Edges)], path, i/2%60)
		}
	}()
	time.Sleep(rig.ContactS + 4*time.Second) // a calm time, in which servers are no longer cold

	for round := range rounds {
		// Planned: releases, of which each replaces one of the three servers.
		for i, s := range added {
			s.Silence()
			for node := i; s.Leave(r.Cores[node%len(r.Cores)])/100 != 2; {
				node++
			}
			time.Sleep(servedOn)
			s.Exit()
			time.Sleep(500 * time.Millisecond)
			id := s.ID
			if !r.Trouble {
				id = fmt.Sprintf("i-%08x", 0x10*round+i)
			}
			added[i] = s.Restart(id, 0)
			time.Sleep(1500 * time.Millisecond)
		}
		time.Sleep(rig.ContactS)
		t.reset(true)
		time.Sleep(3 * time.Second)
		firstShare, _ := t.share(firstPath)
		addedShare, n := t.share(addedPath)
		t.reset(false)
		r.Record.Line("round %d: %.3f of the requests on the first route are served, %.3f of %d on the added one", round+1, firstShare, addedShare, n)
		if n >= minRequests && addedShare < firstShare/4 {
			r.Verdict(true, "after round %d of in-place restarts, in steady state %.3f of the requests on the first route are served and %.3f of %d on the added one, whose servers are all ready", round+1, firstShare, addedShare, n)
		}
	}
	r.Verdict(false, "%d rounds of restarts left the added route served", rounds)
}
