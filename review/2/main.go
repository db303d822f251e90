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
)

func main() {
	r := rig.Start(1)
	var servers []*rig.Server
	for i, zone := range []string{"colombo-a", "kandy-a", "galle-a", "colombo-a", "kandy-a", "galle-a", "colombo-a"} {
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

	victim, frozen := servers[0], r.Cores[2]
	thawed := time.Now()
	if r.Trouble {
		frozen.Signal(syscall.SIGSTOP)
		time.AfterFunc(frozenFor, func() { frozen.Signal(syscall.SIGCONT) })
		thawed = thawed.Add(frozenFor)
	}
	time.Sleep(300 * time.Millisecond)
	victim.Crash()
	time.Sleep(700 * time.Millisecond)
	again := victim.Restart(victim.ID, 0) // its heartbeats go to another control host
	r.Await("the new incarnation runs requests", 15*time.Second, func() bool { return len(again.Runs()) > 0 })
	time.Sleep(time.Until(thawed.Add(-500 * time.Millisecond)))

	// The server leaves without having reported that it drains.
	again.Silence()
	node := 2
	for again.Leave(r.Cores[node%len(r.Cores)])/100 != 2 {
		node++
	}
	acked := time.Now()
	time.Sleep(servedFor)
	late := 0
	from := acked.Add(rig.DrainS)
	if inTouch := thawed.Add(rig.ContactS); inTouch.After(from) {
		from = inTouch
	}
	for _, run := range again.Runs() {
		if run.At.After(from) {
			late++
		}
	}
	close(stop)
	<-stopped
	r.Verdict(late > 0, "%d requests reached the server later than DrainS after the ack of its departure (by %s), with the core stable and all machines in touch", late, r.Cores[node%len(r.Cores)].Name)
}
