// Command 1 shows that one odd announcement keeps entry hosts from following the desired
// state.
package main

import (
	"encoding/json"
	"time"

	"github.com/hornbeamstack/hornbeamstack/review/internal/rig"
)

const (
	oldService, newService = "dele69a", "xano55b"
	path                   = "/bopu901/2f"
	// oddName is the id of the other writer's entry: two bytes that are no text.
	oddName = "%FF%FE"
)

// oddAnnouncement is what the other writer says of its entry.
func oddAnnouncement(sequence int, born int64) []byte {
	body, err := json.Marshal(map[string]any{"Service": "other-writer", "Address": "127.0.0.1:9", "Zone": "colombo-a", "Version": "v1", "Slots": 1,
		"State": "ready", "ColdRemainingS": 0, "Sequence": sequence, "born": born})
	if err != nil {
		panic(err) // only strings and numbers
	}
	return body
}

// beatOdd sends the other writer's announcements until the program ends.
func beatOdd(r *rig.Rig) {
	born := time.Now().UnixMilli()
	for i := 0; ; i++ {
		to := r.Cores[i%len(r.Cores)]
		status := r.Call(to, "PUT", "/v1/instances/"+oddName, oddAnnouncement(i+1, born))
		r.Record.Line("another writer announces %s at %s and gets %d", oddName, to.Name, status)
		time.Sleep(rig.HeartbeatInterval)
	}
}

func main() {
	r := rig.Start(1)
	var servers []*rig.Server
	for i, zone := range []string{"colombo-a", "kandy-a", "galle-a"} {
		for j, service := range []string{oldService, newService} {
			servers = append(servers, r.NewServer("i-"+service+"-"+zone, service, zone, 20+2*i+j, 20*time.Millisecond))
		}
	}
	config := func(version int, service string) []byte {
		return rig.Config(version, []string{oldService, newService}, []rig.Route{{Name: "r-h2b9wu3", Kind: "safe", Prefix: "/bopu901/", Service: service, TimeoutS: 1}})
	}
	r.Order("version 1", "PUT", "/v1/config", config(1, oldService), 0)
	r.Founded()
	r.AwaitReady()
	r.Await("a request is served by each entry host", 20*time.Second, func() bool {
		for _, e := range r.Edges {
			if r.Request(e, "GET", path, 1).Status != 200 {
				return false
			}
		}
		return true
	})
	time.Sleep(rig.ContactS + 3*time.Second) // a calm time, in which servers are no longer cold

	// The other writer's entry beats like a server, at one control host after the other.
	if r.Trouble {
		go beatOdd(r)
	}
	time.Sleep(time.Duration(len(r.Cores)) * rig.HeartbeatInterval)

	// A server leaves; this is not what the verdict rests on.
	leaver := servers[0]
	leaver.Silence()
	for node := 0; leaver.Leave(r.Cores[node%len(r.Cores)])/100 != 2; {
		node++
	}
	left := time.Now()
	for time.Since(left) < rig.DrainS+3*time.Second {
		for i, e := range r.Edges {
			r.Request(e, "GET", path, i)
		}
		time.Sleep(50 * time.Millisecond)
	}
	drained := 0
	for _, run := range leaver.Runs() {
		if run.At.Sub(left) > rig.DrainS {
			drained++
		}
	}
	leaver.Exit()

	acked := r.Order("version 2, which moves the route to the other service", "PUT", "/v1/config", config(2, newService), 1)

	var sent []rig.Sent
	for time.Since(acked) < 15*time.Second {
		for i, e := range r.Edges {
			sent = append(sent, r.Request(e, "GET", path, i))
		}
		time.Sleep(100 * time.Millisecond)
	}
	ranBy := map[string]string{}
	for _, s := range servers {
		for _, run := range s.Runs() {
			ranBy[run.ID] = run.Service
		}
	}
	late, old := 0, 0
	for _, s := range sent {
		if s.At.Sub(acked) > rig.ConfigApplyS {
			late++
			if ranBy[s.ID] == oldService {
				old++
			}
		}
	}
	r.Verdict(old > 0, "of %d requests sent later than ConfigApplyS after the ack of version 2, %d were run by the service of version 1; %d requests reached a server later than DrainS after the ack of its departure", late, old, drained)
}
