package measure

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	meanWork = 50 * time.Millisecond // mean of the exponential work time of a request
	runTime  = 8 * time.Second       // duration of the load, warm-up included
	warmTime = time.Second           // arrivals before this are not counted
)

// busyCase loads a service with the given fraction of its capacity. It reports
// requests above slots, with refusals and waiting times for a load within capacity,
// and completed work and refusal times for an overload.
func busyCase(ctx context.Context, d deployment, policy string, loadFraction float64) ([]Row, error) {
	b, err := startTestbed(ctx, d, policy, nil)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	capacity := float64(b.slots(d.service)) / meanWork.Seconds()
	l := load{service: d.service, entries: b.entries(), rate: capacity * loadFraction, work: meanWork, method: http.MethodPost,
		duration: runTime, warmUp: warmTime, seed: 7, path: "/work", headers: map[string]string{"Hornbeam-Timeout-Ms": "2000"}}
	completed := b.completedDuring(d.service, warmTime, runTime)
	t := l.run(ctx, b.client)
	stats := b.targetStats(d.service)
	name := fmt.Sprintf("%.0f%% of capacity", loadFraction*100)
	row := func(figure, value, target string, met bool) Row {
		r := Row{Deployment: d.name, Case: name, Policy: policy, Figure: figure, Value: value, Target: target}
		if target != "" && policy == policyCurrent {
			r.Verdict = verdict(met)
		}
		return r
	}
	rows := []Row{row("requests above slots", fmt.Sprint(stats.AboveSlots), "0", stats.AboveSlots == 0)}
	if loadFraction <= 1 {
		wait := quantile(t.wait, 99).Seconds() / meanWork.Seconds()
		return append(rows,
			row("refusals", fmt.Sprintf("%d of %d", t.refused+t.failed+t.unknown, t.sent), "0", t.refused+t.failed+t.unknown == 0),
			row("p99 wait / mean service", fmt.Sprintf("%.2f", wait), "below 1", wait < 1),
			row("p50 wait / mean service", fmt.Sprintf("%.3f", quantile(t.wait, 50).Seconds()/meanWork.Seconds()), "", true),
		), nil
	}
	done := float64(<-completed) / (runTime - warmTime).Seconds() / capacity
	refusal := quantile(t.refusal, 99)
	// No request is sent twice, so any request that targets received beyond those
	// that may have run was wrongly answered "not run".
	falseNotRun := max(0, stats.Received-t.mayHaveRun)
	return append(rows,
		row("completed / capacity", fmt.Sprintf("%.3f", done), "at least 0.95", done >= 0.95),
		row("p99 time to refusal", refusal.Round(100*time.Microsecond).String(), "10ms", refusal <= 10*time.Millisecond),
		row("p50 time to refusal", quantile(t.refusal, 50).Round(100*time.Microsecond).String(), "", true),
		row("refusals", fmt.Sprintf("%d of %d", t.refused, t.sent), "", true),
		row("untrue \"not run\"", fmt.Sprint(falseNotRun), "0", falseNotRun == 0),
		row("no answer or unknown", fmt.Sprint(t.failed+t.unknown), "", true),
	), nil
}

// completedDuring counts the requests that targets of a service complete between two
// points in time, given as offsets from now, and sends the count on the channel.
func (b *testbed) completedDuring(service string, from, to time.Duration) <-chan int {
	result := make(chan int, 1)
	go func() {
		time.Sleep(from)
		before := b.targetStats(service).Completed
		time.Sleep(to - from)
		result <- b.targetStats(service).Completed - before
	}()
	return result
}
