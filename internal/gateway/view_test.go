package gateway

import (
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/evidence"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Guards against a host's part of the common limits growing because a control host
// that has just started, or that is cut off, sees only some of the entry hosts.
func TestPlaceFallsSlowly(t *testing.T) {
	v := newView(&Config{Name: "g"})
	hosts := func() int { _, n := v.place(); return n }
	if hosts() != unknownEntries {
		t.Errorf("%d hosts before any reply, want the assumed number", hosts())
	}
	v.setPlace(time.Second, 3, 24)
	v.setPlace(2*time.Second, 0, 0)
	if rank, _ := v.place(); rank != 3 || hosts() != 24 {
		t.Errorf("a control host that does not know the place changed it to %d of %d", rank, hosts())
	}
	v.setPlace(6*time.Second, 1, 4)
	if hosts() < 18 {
		t.Errorf("%d hosts five seconds into a partition, want at least 18", hosts())
	}
	for s := 7; s < 120; s++ {
		v.setPlace(time.Duration(s)*time.Second, 1, 4)
	}
	if hosts() != 4 {
		t.Errorf("%d hosts after two minutes, want 4", hosts())
	}
}

// Guards against entry hosts that together exceed the request rate of a cold target.
func TestColdBoundHoldsOverAllHosts(t *testing.T) {
	p := &policy.Policy{Services: map[string]policy.Service{"s": {Name: "s", ColdPerSecond: 3.1}}}
	target := roster.Target{Announcement: roster.Announcement{Name: "t", Service: "s"}}
	bound := 3.1*1.5 + 5
	for _, hosts := range []int{1, 3, 7, 24, 133, 1000} {
		sum := 0
		for rank := range hosts {
			v := newView(&Config{})
			v.setPlace(time.Second, rank, hosts)
			l := newColdLimiter(&Config{ColdOverage: 1.5, ColdSlack: 5}, v)
			for i := range 100 {
				now := time.Second + time.Duration(i)*5*time.Millisecond
				if l.allowed(now, &target, p) {
					l.sent(now, "t")
					sum++
				}
			}
		}
		if float64(sum) > bound || sum == 0 {
			t.Errorf("%d hosts send %d requests in half a second, the bound is %.1f", hosts, sum, bound)
		}
	}
}

// Guards against one host exceeding its share of a target's connections.
func TestConnectionsAreShared(t *testing.T) {
	e := &evidence.Target{}
	for range 3 {
		if !e.TryAcquire(3) {
			t.Fatal("a free connection is refused")
		}
	}
	if e.TryAcquire(3) {
		t.Error("a fourth request was begun over the limit of 3")
	}
	e.Release()
	if !e.TryAcquire(3) {
		t.Error("an ended request still counts")
	}
}

// Guards against entry hosts that together exceed the common retry budget.
func TestRetryBudgetIsShared(t *testing.T) {
	const hosts, requests = 24, 50
	config := &Config{RetryRatio: 0.2, RetrySlack: 135, RetryWindow: 10 * time.Second}
	sum := 0
	for range hosts {
		b := newBudgets(config)
		for i := range requests {
			b.request("s", time.Duration(i)*time.Millisecond)
		}
		for range 1000 {
			if b.take("s", 5*time.Second, hosts) {
				sum++
			}
		}
	}
	if allowed := 0.2*hosts*requests + 135; float64(sum) > allowed || sum == 0 {
		t.Errorf("%d retries, want between 1 and %v", sum, allowed)
	}
}
