package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/cluster"
	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	drainLoadFraction = 0.4 // load as a fraction of capacity
	// At this rate the download takes 12 s, longer than every timeout in the bundle
	// and the settings.
	downloadRate  = 64 << 10 // bytes per second
	downloadBytes = 12 * downloadRate
)

// drainCase drains a zone under load while a long download through one of its entry hosts
// is in flight.
func drainCase(ctx context.Context, d deployment, policy string) ([]Row, error) {
	b, err := startTestbed(ctx, d, policy, func(o *cluster.Options) {
		o.Target = func(c *standin.Config) { c.Rate = downloadRate }
	})
	if err != nil {
		return nil, err
	}
	defer b.stop()
	zone := b.Bundle.Zones[0]
	capacity := float64(b.slots(d.service)) / meanWork.Seconds()
	l := load{service: d.service, entries: b.entries(), rate: capacity * drainLoadFraction, work: meanWork, method: http.MethodPost,
		duration: 10 * time.Second, seed: 5, path: "/work", headers: map[string]string{"Hornbeam-Timeout-Ms": "5000"}}
	download := make(chan error, 1)
	go func() { download <- b.download(ctx, b.entryIn(zone.Name), d.export) }()
	result := make(chan *tally, 1)
	go func() { result <- l.run(ctx, b.client) }()
	time.Sleep(3 * time.Second)
	next := b.Next()
	next.Drains = append(slices.Clone(next.Drains), bundle.Drain{Kind: bundle.DrainZone, Name: zone.Name})
	decided := time.Now()
	if err := b.Submit(ctx, next); err != nil {
		return nil, err
	}
	t := <-result
	var last time.Duration
	for _, target := range b.Targets {
		if inZone(zone, target.Address()) && target.Service() == d.service {
			last = max(last, target.Stats().LastReceived.Sub(decided))
		}
	}
	whole := <-download
	row := func(figure, value, target string, met bool) Row {
		return Row{d.name, "drain of a zone", policy, figure, value, target, verdict(met)}
	}
	return []Row{
		row("last new request after the decision", last.Round(time.Millisecond).String(), "at most 2s", last <= 2*time.Second),
		row("requests without an answer", fmt.Sprintf("%d of %d", t.sent-t.done, t.sent), "0", t.sent == t.done),
		row("12 s download from the drained zone", outcome(whole), "whole", whole == nil),
	}, nil
}

// outcome describes the result of a download.
func outcome(err error) string {
	if err != nil {
		return err.Error()
	}
	return "whole"
}

// entryIn returns the HTTP address of the first entry host in a zone, or "" if there
// is none.
func (b *testbed) entryIn(zone string) string {
	for _, h := range b.Bundle.Hosts {
		if h.Role == bundle.RoleEntry && h.AvailabilityZone == zone {
			return h.HTTP
		}
	}
	return ""
}

// inZone reports whether a target address lies in the zone's first target prefix.
func inZone(z bundle.AvailabilityZone, address string) bool {
	prefix, err := netip.ParsePrefix(z.TargetPrefixes[0])
	if err != nil {
		return false
	}
	a, err := netip.ParseAddrPort(address)
	return err == nil && prefix.Contains(a.Addr())
}

// download fetches a response of downloadBytes through an entry host and checks its
// length.
func (b *testbed) download(ctx context.Context, entry, service string) error {
	url := fmt.Sprintf("http://%s/s/%s/exports/tunes?work_ms=1&bytes=%d", entry, service, downloadBytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := (&http.Client{}).Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && n != downloadBytes {
		err = errors.New("clean but short")
	}
	return err
}
