package measure

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/cluster"
	"github.com/hornbeamstack/hornbeamstack/internal/standin"
)

const (
	lossLoadFraction = 0.7              // load as a fraction of the capacity before the loss
	lossAt           = 4 * time.Second  // time from the start of the load to the loss
	lossTime         = 14 * time.Second // duration of the load
)

// lossCase kills half of the targets of the first region under load.
func lossCase(ctx context.Context, d deployment, policy string) ([]Row, error) {
	w := newByteCounter()
	b, err := startTestbed(ctx, d, policy, func(o *cluster.Options) {
		o.Target = func(c *standin.Config) { c.Wrap = w.wrap }
	})
	if err != nil {
		return nil, err
	}
	defer b.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.run(ctx)
	capacity := float64(b.slots(d.service)) / meanWork.Seconds()
	l := load{service: d.service, entries: b.entries(), rate: capacity * lossLoadFraction, work: meanWork, method: http.MethodGet,
		duration: lossTime, warmUp: warmTime, seed: 3, path: "/diary", headers: map[string]string{"Hornbeam-Timeout-Ms": "2000"}}
	result := make(chan *tally, 1)
	go func() { result <- l.run(ctx, b.client) }()
	time.Sleep(lossAt)
	lost := time.Now()
	killed := b.killHalf(d.service)
	t := <-result
	_, peak := w.between(lost, time.Now())
	limit := b.Bundle.Links[0].MbitPerSecond * 1e6 / 8
	var until time.Duration
	if t.lastFailure.After(lost) {
		until = t.lastFailure.Sub(lost)
	}
	above := b.targetStats(d.service).AboveSlots
	row := func(figure, value, target, v string) Row {
		return Row{d.name, "half of a region's targets lost", policy, figure, value, target, v}
	}
	return []Row{
		row("targets killed", fmt.Sprint(killed), "", ""),
		row("requests above slots", fmt.Sprint(above), "0", verdict(above == 0)),
		row("highest use in 100 ms of all links together / cap of one", fmt.Sprintf("%.3f", peak*(1+headerOverhead)/limit), "at most 1", verdict(peak*(1+headerOverhead) <= limit)),
		row("time until refusals and failures stop", until.Round(time.Millisecond).String(), "", ""),
		row("refused, failed, unknown", fmt.Sprintf("%d, %d, %d of %d", t.refused, t.failed, t.unknown, t.sent), "", ""),
		row("codes of refusals", fmt.Sprint(t.codes), "", ""),
	}, nil
}

// killHalf kills every second target of a service in the first region and returns
// the number of targets killed.
func (b *testbed) killHalf(service string) int {
	n, killed := 0, 0
	for _, z := range b.Bundle.Zones {
		if z.Region != b.Bundle.Zones[0].Region {
			continue
		}
		for _, t := range b.Targets {
			if t.Service() != service || !inZone(z, t.Address()) {
				continue
			}
			if n++; n%2 == 0 {
				go t.Kill()
				killed++
			}
		}
	}
	return killed
}
