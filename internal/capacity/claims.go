package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeamstack/hornbeamstack/internal/claims"
	"github.com/hornbeamstack/hornbeamstack/internal/cluster"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

const (
	claimTime   = 3 * time.Second // duration of each measurement
	answerBytes = 200             // size of the recorded answers
)

// claimSlopes measures claims on three stores that sync their logs, by the number of
// concurrent callers.
func claimSlopes(ctx context.Context) ([]slope, error) {
	rate := slope{role: "control host", figure: "claims, each begun and finished", unit: "claims/s", per: "concurrent caller", planned: 64}
	latency := slope{role: "entry host", figure: "time that a claim adds to a request, mean", unit: "ms", per: "concurrent caller", planned: 64}
	disk := slope{role: "control host", figure: fmt.Sprintf("disk for each claim, answer of %d bytes", answerBytes), unit: "bytes", per: "concurrent caller", planned: 64}
	wire := slope{role: "control host", figure: "control bytes for each claim, all three stores", unit: "bytes", per: "concurrent caller", planned: 64}
	used := slope{role: "control host", figure: "processor time for each claim, three stores and the entry host", unit: "µs", per: "concurrent caller", planned: 64}
	for _, n := range []int{1, 8, 64} {
		got, err := claimLoad(ctx, n)
		if err != nil {
			return nil, err
		}
		rate.add(float64(n), got.rate)
		latency.add(float64(n), got.latency*1e3)
		disk.add(float64(n), got.disk)
		wire.add(float64(n), got.wire)
		used.add(float64(n), got.cpu*1e6)
	}
	return []slope{rate, latency, disk, wire, used}, nil
}

// claimCost holds the claim rate per second and the mean cost of one claim: latency
// and processor time in seconds, bytes on disk at each store, bytes on the wire.
type claimCost struct{ rate, latency, disk, wire, cpu float64 }

// claimLoad begins and finishes claims for claimTime with the given number of
// concurrent callers.
func claimLoad(ctx context.Context, callers int) (claimCost, error) {
	c, err := cluster.Start(ctx, cluster.Options{Bundle: generate(layout{regions: 2, zones: 3, hostsPerZone: 1}), Seed: 1})
	if err != nil {
		return claimCost{}, err
	}
	defer c.Stop()
	client := peer.NewClient("capacity")
	defer client.Close()
	source := claims.NewClient("capacity", uuid.NewString(), func() []claims.Store { return stores(c.Bundle) }, client, time.Now)
	var done, waited atomic.Int64
	var failure atomic.Pointer[error]
	before, usedBefore, bytes := c.DataBytes(), cpu(), client.Traffic().Total()
	began := time.Now()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for time.Since(began) < claimTime {
				start := time.Now()
				held, _, err := source.Begin(ctx, "bookings", uuid.Must(uuid.NewV7()).String())
				if err != nil {
					failure.Store(&err)
					return
				}
				waited.Add(int64(time.Since(start)))
				held.Finish(claim.Answer{Status: 200, Body: make([]byte, answerBytes)})
				done.Add(1)
			}
		})
	}
	wg.Wait()
	lasted := time.Since(began).Seconds()
	if err := failure.Load(); err != nil {
		return claimCost{}, *err
	}
	if err := source.Drain(ctx); err != nil {
		return claimCost{}, err
	}
	n := float64(done.Load())
	return claimCost{
		rate: n / lasted, latency: time.Duration(waited.Load()).Seconds() / n,
		disk: (c.DataBytes() - before) / n / float64(len(c.Controls)), wire: float64(client.Traffic().Total()-bytes) / n,
		cpu: (cpu() - usedBefore) / n,
	}, nil
}

// stores returns the control hosts of b as claim stores.
func stores(b *bundle.Bundle) []claims.Store {
	var out []claims.Store
	for _, h := range b.Hosts {
		if h.Role == bundle.RoleControl {
			out = append(out, claims.Store{Name: h.Name, Peer: h.Peer})
		}
	}
	return out
}
