package zone

import (
	"errors"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

const longTimeout = 20 * time.Second // deadline of requests that are expected to get a slot

// Guards against released slots that are not granted again, and against requests
// that stay in their zone although the region or another region has free slots.
func TestAcquireOrder(t *testing.T) {
	c := newCluster(t, 2, "a", "b", "c")
	host := c.hosts["a0"]
	c.coordinator("a")
	c.coordinator("b")
	c.coordinator("c")
	c.announce(c.hosts["a1"], "10.1.0.1:80", 1)
	c.announce(c.hosts["b1"], "10.2.0.1:80", 1)
	c.announce(c.hosts["c1"], "10.3.0.1:80", 1)
	var held []*Permit
	for _, want := range []string{"10.1.0.1:80", "10.2.0.1:80", "10.3.0.1:80"} {
		p, err := c.acquire(host, longTimeout, true)
		if err != nil {
			t.Fatal(err)
		}
		if p.Target != want || !p.Usable(time.Now()) {
			t.Fatalf("got target %s (usable %v), want %s", p.Target, p.Usable(time.Now()), want)
		}
		held = append(held, p)
	}
	got := make(chan string, 1)
	go func() {
		if p, err := c.acquire(host, longTimeout, false); err == nil {
			got <- p.Target
		}
	}()
	held[1].Release(slots.OutcomeDone)
	if target := <-got; target != "10.2.0.1:80" {
		t.Fatalf("the queued request got %s, want the released slot of 10.2.0.1:80", target)
	}
	_, err := c.acquire(host, 300*time.Millisecond, false)
	var busy *slots.BusyError
	if !errors.As(err, &busy) || busy.RetryAfter <= 0 {
		t.Fatalf("a full region returned %v, want a BusyError with a retry delay", err)
	}
}
