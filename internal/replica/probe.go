package replica

import (
	"context"
	"sync"
	"time"
)

// probe calls each member once in an interval. One-way messages do not notice
// a connection that is open but dead; a call does, and peer replaces it.
func (g *Group) probe() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range g.config.Members {
		if m.Name != g.self.Name {
			wg.Go(func() { g.probeMember(ctx, m) })
		}
	}
	<-g.quit
	cancel()
	wg.Wait()
}

func (g *Group) probeMember(ctx context.Context, m Member) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		attempt, cancel := context.WithTimeout(ctx, probeTimeout)
		_, _ = g.hello(attempt, m) // only its effect on the connection matters
		cancel()
	}
}
