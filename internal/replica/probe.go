package replica

import (
	"context"
	"sync"
	"time"
)

// probe calls each other host once in an interval. One-way messages do not
// notice a connection that is open but dead; a call does, and peer replaces it.
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
	_, _ = g.hello(attempt, m) // only its effect on the connection matters
}
