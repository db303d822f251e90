package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

// section is a group of slopes that are measured together.
type section struct {
	name string
	run  func(context.Context) ([]slope, error)
}

// sections lists all sections in the order in which they run.
var sections = []section{
	{"blocks", func(context.Context) ([]slope, error) { return blockSlopes() }},
	{"slots", func(context.Context) ([]slope, error) { return slotSlopes(), nil }},
	{"storage", func(context.Context) ([]slope, error) { return storageSlopes() }},
	{"claims", claimSlopes},
	{"traffic", trafficSlopes},
	{"rollout", rolloutSlopes},
	{"restart", restartSlopes},
}

// Run measures the named sections, or all if names is empty, and writes their slopes
// to out as one table. After an error the table holds the sections that completed.
// The duration of each section is reported to progress.
func Run(ctx context.Context, out, progress io.Writer, names []string) error {
	var all []slope
	for _, s := range sections {
		if len(names) > 0 && !slices.Contains(names, s.name) {
			continue
		}
		began := time.Now()
		got, err := s.run(ctx)
		if err != nil {
			writeTable(out, all)
			return fmt.Errorf("measure section %s: %w", s.name, err)
		}
		all = append(all, got...)
		_, _ = fmt.Fprintf(progress, "section=%s took=%s\n", s.name, time.Since(began).Round(time.Millisecond))
	}
	writeTable(out, all)
	return nil
}
