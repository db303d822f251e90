package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { scripts["14"] = oddEntries }

// oddEntries lets another writer leave one entry of a service that does not exist for the address
// of each server. It reports whether no request is served from then on.
func oddEntries(r *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(3, 1)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	if err := d.startAll(desiredState(1, []route{{"look", "safe", "/look/", "desk", 1}}, "desk")); err != nil {
		return false, err
	}
	var servers []*server
	for i := range 8 {
		s, err := newServer(d, i, "desk", 3, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer s.stop()
		servers = append(servers, s)
	}
	time.Sleep(3 * time.Second) // the servers are known everywhere by then
	if trouble {
		for i, s := range servers {
			entry, err := json.Marshal(map[string]any{"Service": "no-such-service", "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": 3,
				"State": "ready", "ColdRemainingS": 0, "Sequence": 1, "born": time.Now().UnixMilli()})
			if err != nil {
				return false, err
			}
			status, _ := d.call(d.cores[i%len(d.cores)], "PUT", fmt.Sprintf("/v1/instances/odd-%d", i), entry)
			r.note("another writer sent an entry of a service that does not exist, with the address of %s: %d", s.id, status)
		}
		time.Sleep(time.Second)
	}
	answers := newAnswers()
	client := newCaller(4)
	acked := heartbeats(servers)
	served := 0
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		a := send(client, d.edges[0], "GET", "/look/x", nil, newID(), time.Second)
		answers.add(a)
		if a.status == 200 && a.signed {
			served++
		}
	}
	answers.record(r)
	r.note("heartbeats of the %d servers acknowledged meanwhile: %d", len(servers), heartbeats(servers)-acked)
	r.note("requests served: %d of %d", served, len(answers.list))
	return served == 0, nil
}

// heartbeats returns how many heartbeats of the servers were acknowledged.
func heartbeats(servers []*server) int64 {
	var n int64
	for _, s := range servers {
		n += s.acked.Load()
	}
	return n
}
