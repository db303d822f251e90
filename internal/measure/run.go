package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"
)

// collectorPercent is the value for debug.SetGCPercent. All hosts, callers and
// targets share one process here, and its garbage collections of 50 ms would delay
// all of them; a host in its own process has a small heap.
const collectorPercent = 800

// measurement is one named case on one deployment under one policy.
type measurement struct {
	name       string
	deployment deployment
	policy     string
	run        func(ctx context.Context, d deployment, policy string) ([]Row, error)
}

// measurements lists all cases in the order in which they run.
func measurements() []measurement {
	var all []measurement
	for _, d := range deployments {
		for _, policy := range []string{policyRandom, policyLeastLoad, policyCurrent} {
			all = append(all,
				measurement{"busy", d, policy, func(ctx context.Context, d deployment, p string) ([]Row, error) { return busyCase(ctx, d, p, 0.85) }},
				measurement{"overload", d, policy, func(ctx context.Context, d deployment, p string) ([]Row, error) { return busyCase(ctx, d, p, 2) }})
		}
		all = append(all,
			measurement{"links", d, policyCurrent, linkCase},
			measurement{"hop", d, policyCurrent, hopCase},
			measurement{"drain", d, policyCurrent, drainCase},
			measurement{"loss", d, policyCurrent, lossCase})
	}
	return all
}

// Run measures the named cases, or all if names is empty, under the given policy, or
// all if it is empty. It returns the rows of all cases that completed, also with an
// error. The duration of each case is reported to progress.
func Run(ctx context.Context, progress io.Writer, names []string, policy string) ([]Row, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(collectorPercent))
	var rows []Row
	for _, m := range measurements() {
		if len(names) > 0 && !slices.Contains(names, m.name) || policy != "" && policy != m.policy {
			continue
		}
		began := time.Now()
		got, err := m.run(ctx, m.deployment, m.policy)
		if err != nil {
			return rows, fmt.Errorf("%s on %s under %s: %w", m.name, m.deployment.name, m.policy, err)
		}
		rows = append(rows, got...)
		_, _ = fmt.Fprintf(progress, "case=%s deployment=%s policy=%q took=%s\n", m.name, m.deployment.name, m.policy, time.Since(began).Round(time.Millisecond))
	}
	return rows, nil
}

// AddPrevious reads the JSON rows of an earlier run from file and inserts each after
// the row of the same figure, both under policyCurrent.
func AddPrevious(rows []Row, file string) ([]Row, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var old []Row
	if err := json.Unmarshal(data, &old); err != nil {
		return nil, fmt.Errorf("decode rows of %s: %w", file, err)
	}
	var out []Row
	for _, r := range rows {
		out = append(out, r)
		for _, o := range old {
			if o.Policy == policyCurrent && r.Policy == policyCurrent && o.Deployment == r.Deployment && o.Case == r.Case && o.Figure == r.Figure {
				o.Policy, o.Verdict = "previous commit", ""
				out = append(out, o)
			}
		}
	}
	return out, nil
}

// WritePage writes the rows to file as a Markdown page, with the conditions under
// which they were measured.
func WritePage(file string, rows []Row) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(f, "# Load measurement\n\nWritten by `make measure` on a machine with %d cores (%s/%s). 24 entry hosts, control hosts and\n"+
		"stand-in targets run in one process over loopback sockets, without the latency between zones and regions.\n"+
		"Open-loop Poisson arrivals, exponential work of %s on average, fixed seeds.\n\n", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, meanWork)
	if err != nil {
		_ = f.Close()
		return err
	}
	WriteTable(f, rows)
	return f.Close()
}
