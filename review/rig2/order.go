package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Parameters of the case "order".
const (
	// freezeTime is how long one core machine stands still.
	freezeTime = 4 * time.Second
	// lostClose is when the operator's close arrives behind its bytes if the packet that
	// carries it is lost once: the smallest retransmission timeout of Linux, 200 ms, and a
	// round trip between regions.
	lostClose = 250 * time.Millisecond
	// evacuationLimit is EvacuationS + MaxStretchS of the settings.
	evacuationLimit = 10 * time.Second
	// evacuationWatch is how long requests are watched after that.
	evacuationWatch = 6 * time.Second
	requestGap      = 50 * time.Millisecond
	orderedZone     = "zone-1"
	// lateTolerated is the number of late requests in the zone that the rule allows.
	lateTolerated = 0
)

// heldLink is the link between the operator and a machine that stands still. It holds
// what the operator sends until it is released, and passes the operator's close on
// lostClose after its bytes.
type heldLink struct {
	rig      *rig
	to       string
	listener net.Listener
	released chan struct{}
}

func newHeldLink(r *rig, n *node) (*heldLink, error) {
	l, err := net.Listen("tcp", r.network+".2.1:0")
	if err != nil {
		return nil, err
	}
	h := &heldLink{rig: r, to: fmt.Sprintf("%s:%d", n.ip, portControl), listener: l, released: make(chan struct{})}
	go h.serve()
	return h, nil
}

// serve passes on one connection.
func (h *heldLink) serve() {
	conn, err := h.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	text, err := io.ReadAll(conn) // until the operator closes
	if err != nil {
		h.rig.note("link: %v", err)
	}
	<-h.released
	to, err := net.Dial("tcp", h.to)
	if err != nil {
		h.rig.note("link: %v", err)
		return
	}
	_, err = to.Write(text)
	h.rig.note("link: %d bytes that the operator sent are passed on (%v)", len(text), err)
	time.Sleep(lostClose)
	_ = to.Close()
	h.rig.note("link: the operator's close is passed on, %v later", lostClose)
}

// orderUntilAcked sends an order about the zone to machines in turn, like the operator.
func (r *rig) orderUntilAcked(method string, machines []*node) error {
	for i := range 20 {
		n := machines[i%len(machines)]
		status, _ := call(n, method, "/v1/evacuations/"+orderedZone, nil)
		r.note("operator: %s evacuation of %s at %s: %d", method, orderedZone, n.name, status)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the order was not acknowledged")
}

// zoneWork counts the requests that reach the servers of the zone.
type zoneWork struct {
	mu    sync.Mutex
	times []time.Time
}

func (z *zoneWork) since(at time.Time) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	n := 0
	for _, t := range z.times {
		if t.After(at) {
			n++
		}
	}
	return n
}

// startOrderDeployment starts three core machines, one entry machine, and two servers in
// each of two zones.
func startOrderDeployment(r *rig) (*node, *zoneWork, error) {
	for i, region := range []string{"munster", "leinster", "connacht"} {
		r.add(fmt.Sprintf("zone-%d", i+1), region, true)
	}
	entry := r.add(orderedZone, "munster", false)
	if err := r.startAll(); err != nil {
		return nil, nil, err
	}
	if err := r.submit(1, desiredState(1, []route{{"r-diary", "safe", "/diary/", "bookings"}}), r.cores(), 10*time.Second); err != nil {
		return nil, nil, err
	}
	work := &zoneWork{}
	handle := func(s *server, w net.Conn, request *http.Request) bool {
		if s.zone == orderedZone {
			work.mu.Lock()
			work.times = append(work.times, time.Now())
			work.mu.Unlock()
			r.note("server: %s in %s gets %s", s.id, s.zone, request.Header.Get("Request-Id"))
		}
		_, err := w.Write(append(head(request, smallSize), body(smallSize)...))
		return err == nil
	}
	for i := range 4 {
		if _, err := r.startServer(fmt.Sprintf("i-bookings-%d", i), "bookings", fmt.Sprintf("zone-%d", i%2+1), 20+i, handle); err != nil {
			return nil, nil, err
		}
	}
	return entry, work, awaitReady(entry, 10*time.Second)
}

// runOrder evacuates a zone, ends that, and evacuates it again. With trouble the end is
// first sent to a machine that stands still; the operator gives it up after a second, and
// sends it to others.
func runOrder(r *rig) (broken bool, err error) {
	entry, work, err := startOrderDeployment(r)
	if err != nil {
		return false, err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { sendRequests(r, entry, done) })
	defer clients.Wait()
	defer close(done)
	time.Sleep(2 * time.Second)
	frozen, others := r.cores()[2], r.cores()[:2]
	if err := r.orderUntilAcked(http.MethodPost, others); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var link *heldLink
	thaw := time.Now().Add(freezeTime)
	if r.trouble {
		if link, err = r.sendToFrozen(frozen); err != nil {
			return false, err
		}
	}
	if err := r.orderUntilAcked(http.MethodDelete, others); err != nil {
		return false, err
	}
	if err := r.orderUntilAcked(http.MethodPost, others); err != nil {
		return false, err
	}
	acked := time.Now()
	if r.trouble {
		time.Sleep(time.Until(thaw))
		if err := frozen.process.Resume(); err != nil {
			return false, err
		}
		r.note("%s goes on", frozen.name)
		close(link.released)
	}
	time.Sleep(time.Until(acked.Add(evacuationLimit + evacuationWatch)))
	late := work.since(acked.Add(evacuationLimit))
	r.note("%d requests reached servers of %s later than %v after the second evacuation was acknowledged; it was not taken back", late, orderedZone, evacuationLimit)
	return late > lateTolerated, nil
}

// sendToFrozen freezes a machine and sends it the end of the evacuation. The operator
// closes the connection after a second without an answer.
func (r *rig) sendToFrozen(n *node) (*heldLink, error) {
	link, err := newHeldLink(r, n)
	if err != nil {
		return nil, err
	}
	if err := n.process.Freeze(); err != nil {
		return nil, err
	}
	r.note("%s stands still", n.name)
	conn, err := net.Dial("tcp", link.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(conn, "DELETE /v1/evacuations/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", orderedZone, link.to)
	r.note("operator: DELETE evacuation of %s is sent to %s", orderedZone, n.name)
	time.Sleep(operatorTimeout)
	_ = conn.Close()
	r.note("operator: no answer for %v, closes the connection and moves on", operatorTimeout)
	return link, err
}

// sendRequests sends requests of clients until done is closed.
func sendRequests(r *rig, entry *node, done <-chan struct{}) {
	var c *client
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(requestGap):
		}
		if c == nil {
			var err error
			if c, err = connect(entry); err != nil {
				r.note("client: %v", err)
				c = nil
				continue
			}
		}
		err := c.send(get("/diary/x", fmt.Sprintf("diary-%d", i)))
		if err == nil {
			_, _, err = c.receive(2 * time.Second)
		}
		if err != nil {
			r.note("client: %v", err)
			c.close()
			c = nil
		}
	}
}
