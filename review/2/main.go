// Command 2 shows that the acknowledged departure of a server is recorded for its earlier
// incarnation, so that entry hosts go on sending it requests.
package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/hornbeamstack/hornbeamstack/review/internal/rig"
)

const (
	service = "dele69a"
	path    = "/bopu901/2f"
	// frozenFor is the length of the freeze, the largest dose of node_freeze on a machine of
	// the core among the troubles of kll-limits.
	frozenFor = 4 * time.Second
	// servedFor is how long the leaving server serves after the ack.
	servedFor = 9 * time.Second
	// rounds is how often the case is tried: the DELETE and the news of the new incarnation
	// race for the control host that wakes.
	rounds = 3
)

func main() {
	r := rig.Start(1)
	var servers []*rig.Server
	for i, zone := range []string{"colombo-a", "kandy-a", "galle-a", "colombo-a", "kandy-a", "galle-a", "colombo-a", "kandy-a"} {
		servers = append(servers, r.NewServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, zone, 20+i, 30*time.Millisecond))
	}
	r.Order("version 1", "PUT", "/v1/config", rig.Config(1, []string{service}, []rig.Route{{Name: "r-h2b9wu3", Kind: "unsafe", Prefix: "/bopu901/", Service: service, TimeoutS: 1}}), 0)
	r.Founded()
	r.AwaitReady()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			go r.Request(r.Edges[i%len(r.Edges)], "POST", path, i%60)
		}
	}()
	time.Sleep(rig.ContactS + 4*time.Second) // a calm time, in which servers are no longer cold

	late, round := 0, 0
	for ; round < rounds && late == 0; round++ {
		late = leaveAfterRestart(r, servers[round], r.Cores[2])
	}
	close(stop)
	<-stopped
	r.Verdict(late > 0, "in round %d, %d requests reached the server later than DrainS after the ack of its departure, with the core stable and all machines in touch", round, late)
}

// leaveAfterRestart crashes a server while a control host is frozen, starts it again under
// its id, and takes it away as the control host wakes. It returns the number of requests that
// reached the server too late.
func leaveAfterRestart(r *rig.Rig, victim *rig.Server, frozen *rig.Host) int {
	thawed, again := time.Now().Add(frozenFor), victim
	if r.Trouble {
		frozen.Signal(syscall.SIGSTOP)
		time.AfterFunc(frozenFor, func() { frozen.Signal(syscall.SIGCONT) })
		time.Sleep(300 * time.Millisecond)
		victim.Crash()
		time.Sleep(700 * time.Millisecond)
		again = victim.Restart(victim.ID, 0) // its heartbeats go to another control host
		r.Await("the new incarnation runs requests", 15*time.Second, func() bool { return len(again.Runs()) > 0 })
	}
	time.Sleep(time.Until(thawed.Add(-500 * time.Millisecond)))

	// The server leaves without having reported that it drains.
	again.Silence()
	for node := 2; again.Leave(r.Cores[node%len(r.Cores)])/100 != 2; {
		node++
	}
	acked := time.Now()
	time.Sleep(servedFor)
	from := acked.Add(rig.DrainS)
	if inTouch := thawed.Add(rig.ContactS); inTouch.After(from) {
		from = inTouch
	}
	late := 0
	for _, run := range again.Runs() {
		if run.At.After(from) {
			late++
		}
	}
	again.Exit()
	return late
}
