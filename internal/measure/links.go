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
	exportBytes   = 2 << 20 // size of an export
	exportStreams = 32      // concurrent exports
	diaryRate     = 200     // requests a second
	diaryTime     = 6 * time.Second
	// headerOverhead is the size of frame, IP and TCP headers as a fraction of the
	// payload, at an MTU of 1,500 bytes.
	headerOverhead = 0.055
)

// linkCase runs all targets in the first region of a link and all callers in the
// second, so that every response crosses this link. It measures the latency of diary
// checks alone and while exports saturate the link.
func linkCase(ctx context.Context, d deployment, policy string) ([]Row, error) {
	w := newByteCounter()
	b, err := startTestbed(ctx, d, policy, func(o *cluster.Options) {
		o.Zones = firstRegionZones(d.file)
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
	diary := load{service: d.service, entries: b.entries(link.Regions[1]), rate: diaryRate, work: 5 * time.Millisecond, method: http.MethodGet,
		duration: diaryTime, warmUp: warmTime, seed: 11, path: "/diary", headers: map[string]string{"Hornbeam-Timeout-Ms": "5000"}}
	alone := diary.run(ctx, b.client)
	exports, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range exportStreams {
		wg.Go(func() { b.export(exports, diary.entries[i%len(diary.entries)], d.export) })
	}
	time.Sleep(3 * time.Second) // until the link leases have followed the demand
	from := time.Now()
	busy := diary.run(ctx, b.client)
	to := time.Now()
	stop()
	wg.Wait()
	mean, peak := w.between(from, to)
	ratio := quantile(busy.latency, 99).Seconds() / quantile(alone.latency, 99).Seconds()
	row := func(figure, value, target string, met bool) Row {
		return Row{d.name, "exports on a link", policy, figure, value, target, verdict(met)}
	}
	return []Row{
		row("highest use in 100 ms, with headers / cap", fmt.Sprintf("%.3f", peak*(1+headerOverhead)/limit), "at most 1", peak*(1+headerOverhead) <= limit),
		row("mean use, with headers / cap", fmt.Sprintf("%.3f", mean*(1+headerOverhead)/limit), "at least 0.85", mean*(1+headerOverhead) >= 0.85*limit),
		row("diary check p99, with exports / alone", fmt.Sprintf("%.2f (%s / %s)", ratio,
			quantile(busy.latency, 99).Round(100*time.Microsecond), quantile(alone.latency, 99).Round(100*time.Microsecond)), "at most 1.5", ratio <= 1.5),
		row("diary checks not answered", fmt.Sprintf("%d of %d", busy.sent-busy.done, busy.sent), "0", busy.sent == busy.done),
	}, nil
}

// export downloads exports one after the other until ctx ends.
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

// firstRegionZones returns the availability zones in the first region of the first
// link, or nil if the bundle cannot be read.
func firstRegionZones(file string) []string {
	b, err := readBundle(file)
	if err != nil {
		return nil
	}
	return zonesOf(b, b.Links[0].Regions[0])
}

// zonesOf returns the names of the availability zones in a region.
func zonesOf(b *bundle.Bundle, region string) []string {
	var zones []string
	for _, z := range b.Zones {
		if z.Region == region {
			zones = append(zones, z.Name)
		}
	}
	return zones
}
