package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/cluster"
	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	exportBytes   = 2 << 20
	exportStreams = 32
	diaryRate     = 200 // requests a second
	diaryTime     = 6 * time.Second
	// headerOverhead is what frame, IP and TCP headers add to the payload at an MTU of 1,500 bytes.
	headerOverhead = 0.055
)

// linkCase puts all targets into the first region and all callers into the
// second, so that every answer crosses one link. Exports saturate the link
// while diary checks go on.
func linkCase(ctx context.Context, s deployment, policy string) ([]Row, error) {
	w := newByteCounter()
	b, err := startTestbed(ctx, s, policy, func(o *cluster.Options) {
		o.Zones = firstRegionZones(s.file)
		o.Target = func(c *standin.Config) { c.Wrap = w.wrap }
	})
	if err != nil {
		return nil, err
	}
	defer b.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go w.run(ctx)
	link := b.Bundle.Links[0]
	limit := link.MbitPerSecond * 1e6 / 8
	diary := load{service: s.service, entries: b.entries(link.Regions[1]), rate: diaryRate, work: 5 * time.Millisecond, method: http.MethodGet,
		duration: diaryTime, warmUp: warmTime, seed: 11, path: "/diary", headers: map[string]string{"Hornbeam-Timeout-Ms": "5000"}}
	alone := diary.run(ctx, b.client)
	exports, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range exportStreams {
		wg.Go(func() { b.export(exports, diary.entries[i%len(diary.entries)], s.export) })
	}
	time.Sleep(3 * time.Second) // leases follow demand
	from := time.Now()
	busy := diary.run(ctx, b.client)
	to := time.Now()
	stop()
	wg.Wait()
	mean, peak := w.between(from, to)
	ratio := quantile(busy.latency, 99).Seconds() / quantile(alone.latency, 99).Seconds()
	row := func(figure, value, target string, met bool) Row {
		return Row{s.name, "exports on a link", policy, figure, value, target, verdict(met)}
	}
	return []Row{
		row("highest use in 100 ms, with headers / cap", fmt.Sprintf("%.3f", peak*(1+headerOverhead)/limit), "at most 1", peak*(1+headerOverhead) <= limit),
		row("mean use, with headers / cap", fmt.Sprintf("%.3f", mean*(1+headerOverhead)/limit), "at least 0.85", mean*(1+headerOverhead) >= 0.85*limit),
		row("diary check p99, with exports / alone", fmt.Sprintf("%.2f (%s / %s)", ratio,
			quantile(busy.latency, 99).Round(100*time.Microsecond), quantile(alone.latency, 99).Round(100*time.Microsecond)), "at most 1.5", ratio <= 1.5),
		row("diary checks not answered", fmt.Sprintf("%d of %d", busy.sent-busy.done, busy.sent), "0", busy.sent == busy.done),
	}, nil
}

// export downloads over and over until ctx ends.
func (b *testbed) export(ctx context.Context, entry, service string) {
	for ctx.Err() == nil {
		url := fmt.Sprintf("http://%s/s/%s/exports/month?work_ms=1&bytes=%d", entry, service, exportBytes)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		resp, err := b.client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// firstRegionZones names the availability zones of the first end of the first link.
func firstRegionZones(file string) []string {
	b, err := readBundle(file)
	if err != nil {
		return nil
	}
	return zonesOf(b, b.Links[0].Regions[0])
}

func zonesOf(b *bundle.Bundle, region string) []string {
	var zones []string
	for _, z := range b.Zones {
		if z.Region == region {
			zones = append(zones, z.Name)
		}
	}
	return zones
}
