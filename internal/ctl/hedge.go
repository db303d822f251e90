package ctl

import (
	"context"
	"slices"
	"time"
)

const (
	// hedgeDelay is the time after the start of a call at which the next control
	// host is asked as well. All requests are safe to send to several hosts.
	hedgeDelay = time.Second
	// retryDelay is the pause after a round of calls without a definite result. It
	// gives an election time to finish.
	retryDelay = 200 * time.Millisecond
)

// hedge calls ask for the addresses in turn, in rounds, until a call reports a
// definite result or ctx is done, and reports whether there was such a result.
// The next call starts when one returns, hedgeDelay after the last one started, or
// retryDelay after each round; an address has at most one call in flight. Calls
// still in flight when hedge returns are cancelled. If ctx is done first, hedge
// waits for them.
func hedge(ctx context.Context, addrs []string, ask func(ctx context.Context, addr string) (definite bool)) bool {
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	type reply struct {
		addr     string
		definite bool
	}
	replies := make(chan reply, len(addrs)) // buffered, so that calls still in flight on return do not block
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
