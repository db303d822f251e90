// Command 4 shows that a delayed end of an evacuation undoes a later evacuation that was
// acknowledged.
package main

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/hornbeamstack/hornbeamstack/review/internal/rig"
)

const (
	service = "dele69a"
	path    = "/bopu901/2f"
	zone    = "galle-a"
	orders  = "/v1/evacuations/" + zone
	// frozenFor is the length of the freeze, the largest dose of node_freeze on a machine of
	// the core among the troubles of kll-limits.
	frozenFor = 4 * time.Second
	// evacuatedFor is how long the second evacuation lasts.
	evacuatedFor = 20 * time.Second
	// callTimeout is the time without a response after which the operator moves on.
	callTimeout = time.Second
)

// call sends an order on the operator's kept connection and returns the status, 0 if there
// is no response in time. The connection is closed then.
func call(client *http.Client, method, address, path string) int {
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	answer, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode
}

func main() {
	r := rig.Start(1)
	var evacuated []*rig.Server
	for i, z := range []string{"colombo-a", "kandy-a", zone, "colombo-a", "kandy-a", zone} {
		s := r.NewServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, z, 20+i, 20*time.Millisecond)
		if z == zone {
			evacuated = append(evacuated, s)
		}
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
			case <-time.After(20 * time.Millisecond):
			}
			go r.Request(r.Edges[i%len(r.Edges)], "POST", path, i%60)
		}
	}()
	time.Sleep(rig.ContactS + 4*time.Second) // a calm time, in which servers are no longer cold

	frozen := r.Cores[2]
	link := r.NewLink(frozen.Control)
	operator := &http.Client{Timeout: callTimeout}
	status := call(operator, "POST", link.Address(), orders)
	r.Record.Line("operator sends the evacuation to %s, gets %d", frozen.Name, status)
	if status != http.StatusOK {
		r.Cannot("the first evacuation was not acknowledged")
	}
	time.Sleep(2 * time.Second)
	thawed := time.Now()
	if r.Trouble {
		frozen.Signal(syscall.SIGSTOP)
		link.Hold()
		time.AfterFunc(frozenFor, func() { frozen.Signal(syscall.SIGCONT); link.Release() })
		thawed = thawed.Add(frozenFor)
	}
	status = call(operator, "DELETE", link.Address(), orders)
	r.Record.Line("operator sends the end of the evacuation to %s, gets %d", frozen.Name, status)
	if status != http.StatusOK {
		r.Order("the end of the evacuation", "DELETE", orders, nil, 0)
	}
	acked := r.Order("the second evacuation", "POST", orders, nil, 0)
	time.Sleep(evacuatedFor)
	from := acked.Add(rig.EvacuationS + rig.MaxStretchS)
	if inTouch := thawed.Add(rig.ContactS); inTouch.After(from) {
		from = inTouch
	}
	late := 0
	for _, s := range evacuated {
		for _, run := range s.Runs() {
			if run.At.After(from) {
				late++
			}
		}
	}
	close(stop)
	<-stopped
	r.Verdict(late > 0, "%d requests reached servers of the evacuated zone later than EvacuationS + MaxStretchS after the ack", late)
}
