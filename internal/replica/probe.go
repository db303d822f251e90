package replica

import (
	"context"
	"sync"
	"time"
)

// probe calls every other known host once per probeInterval. One-way messages do
// not detect a connection that is open but dead; a call does, and package peer
// then replaces the connection.
func (g *Group) probe() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.quit:
			return
		case <-ticker.C:
		}
		for _, m := range g.otherHosts() {
			wg.Go(func() { g.probeMember(ctx, m) })
		}
	}
}

func (g *Group) probeMember(ctx context.Context, m Member) {
	attempt, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, _ = g.hello(attempt, m) // the reply is not needed; hello has recorded the addresses in it
}
