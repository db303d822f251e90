package ctl

import (
	"context"
	"slices"
	"time"
)

const (
	// hedgeDelay is how long a control host may hang before the next one is asked
	// as well. All requests are safe to send to several hosts.
	hedgeDelay = time.Second
	// retryDelay separates rounds over all control hosts, to wait out an election.
	retryDelay = 200 * time.Millisecond
)

// hedge asks the addresses in turn, again and again, until one call of ask
// reports a definite result or ctx ends. It starts the next call when one
// returned or hangs; an address has one call at a time. After the end of ctx it
// waits for all calls, which end with it.
func hedge(ctx context.Context, addrs []string, ask func(ctx context.Context, addr string) (definite bool)) bool {
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		addr     string
		definite bool
	}
	replies := make(chan reply, len(addrs)) // has room for calls that nobody waits for
	idle, running, answered := slices.Clone(addrs), 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-replies
			}
			return false
		case <-next.C:
			next.Reset(hedgeDelay)
			if len(idle) == 0 {
				continue
			}
			addr := idle[0]
			idle = idle[1:]
			running++
			go func() { replies <- reply{addr, ask(calls, addr)} }()
		case r := <-replies:
			if r.definite {
				return true
			}
			running--
			answered++
			idle = append(idle, r.addr)
			if answered%len(addrs) == 0 {
				next.Reset(retryDelay)
			} else {
				next.Reset(0)
			}
		}
	}
}
