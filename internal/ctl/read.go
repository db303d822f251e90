package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/hornbeamstack/hornbeamstack/internal/controlapi"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// history lists accepted versions, newest first.
func (c *command) history(ctx context.Context, a *historyArgs) error {
	control, err := c.control()
	if err != nil {
		return err
	}
	var page controlapi.HistoryPage
	path := fmt.Sprintf("%s?limit=%d&before=%d", controlapi.PathBundles, a.Limit, a.Before)
	if err := control.get(ctx, path, &page); err != nil {
		return err
	}
	if c.args.JSON {
		return c.print(page, "")
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tOPERATOR\tROOT")
	for _, h := range page.Headers {
		fmt.Fprintf(w, "%d\t%s\t%s\n", h.Version, h.Operator, h.Root)
	}
	c.printStaleWarning(page.Stale)
	return w.Flush()
}

// printStaleWarning marks output that the leader did not confirm.
func (c *command) printStaleWarning(stale bool) {
	if stale {
		fmt.Fprintln(c.out, "no leader confirmed this; newer versions may exist")
	}
}

// show prints the content of the newest version as TOML, or the header and the
// changes of an older one.
func (c *command) show(ctx context.Context, a *showArgs) error {
	detail, err := c.version(ctx, a.Version)
	if err != nil {
		return err
	}
	if c.args.JSON {
		return c.print(detail, "")
	}
	if detail.Content == nil {
		fmt.Fprintf(c.out, "version %d, root %s, operator %s\n", detail.Header.Version, detail.Header.Root, detail.Header.Operator)
		if !detail.HasDiff {
			fmt.Fprintln(c.out, "its changes are no longer kept")
		}
		return c.printChanges(detail.Changes)
	}
	b, err := bundle.DecodeSnapshot(detail.Content)
	if err != nil {
		return failed("%w", err)
	}
	text, err := b.TOML()
	if err != nil {
		return failed("%w", err)
	}
	_, err = c.out.Write(text)
	return err
}

// version reads a version by its number or by controlapi.CurrentVersion.
func (c *command) version(ctx context.Context, version string) (*controlapi.VersionDetail, error) {
	control, err := c.control()
	if err != nil {
		return nil, err
	}
	detail := &controlapi.VersionDetail{}
	return detail, control.get(ctx, controlapi.PathBundles+"/"+version, detail)
}

// diff lists the changes between two files or two accepted versions.
func (c *command) diff(ctx context.Context, a *diffArgs) error {
	from, fromErr := strconv.ParseUint(a.From, 10, 64)
	to, toErr := strconv.ParseUint(a.To, 10, 64)
	var changes []bundle.Change
	var err error
	switch {
	case fromErr == nil && toErr == nil:
		changes, err = c.diffVersions(ctx, from, to)
	case fromErr != nil && toErr != nil:
		changes, err = diffFiles(a.From, a.To)
	default:
		err = badInput("compare two versions or two files; hornbeamctl bundle show writes the newest version as a file")
	}
	if err != nil {
		return err
	}
	if c.args.JSON {
		return c.print(map[string]any{"changes": changes}, "")
	}
	return c.printChanges(changes)
}

func diffFiles(from, to string) ([]bundle.Change, error) {
	old, err := readContent(from)
	if err != nil {
		return nil, err
	}
	next, err := readContent(to)
	if err != nil {
		return nil, err
	}
	return bundle.Diff(old, next), nil
}

// diffVersions merges the changes of the versions from+1 to to. The last change
// of a key wins.
func (c *command) diffVersions(ctx context.Context, from, to uint64) ([]bundle.Change, error) {
	if from >= to {
		return nil, badInput("the first version must be older than the second")
	}
	merged := map[string]bundle.Change{}
	for v := from + 1; v <= to; v++ {
		detail, err := c.version(ctx, strconv.FormatUint(v, 10))
		if err != nil {
			return nil, err
		}
		if !detail.HasDiff {
			return nil, failed("the changes of version %d are no longer kept", v)
		}
		for _, change := range detail.Changes {
			merged[change.Key] = change
		}
	}
	changes := make([]bundle.Change, 0, len(merged))
	for _, change := range merged {
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(x, y bundle.Change) int { return cmp.Compare(x.Key, y.Key) })
	return changes, nil
}

func (c *command) printChanges(changes []bundle.Change) error {
	for i := range changes {
		if _, err := fmt.Fprintln(c.out, changes[i].Describe()); err != nil {
			return err
		}
	}
	return nil
}

// status prints the version in force, the lag and the headroom of every host.
func (c *command) status(ctx context.Context) error {
	control, err := c.control()
	if err != nil {
		return err
	}
	var report controlapi.StatusReport
	if err := control.get(ctx, controlapi.PathStatus, &report); err != nil {
		return err
	}
	if c.args.JSON {
		return c.print(report, "")
	}
	fmt.Fprintf(c.out, "version %d, root %s, leader %s\n", report.Version, report.Root, report.Leader)
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tROLE\tVERSION\tLAG\tSTATE\tHEADROOM")
	for _, h := range report.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n", h.Host, h.AvailabilityZone, h.Role, h.Version, h.Lag, hostState(&h), formatHeadroom(h.Headroom))
	}
	c.printStaleWarning(report.Stale)
	return w.Flush()
}

func hostState(h *controlapi.HostReport) string {
	var words []string
	if h.Silent {
		words = append(words, "silent")
	}
	if h.Drained {
		words = append(words, "drained")
	}
	if len(words) == 0 {
		return "ok"
	}
	return strings.Join(words, ",")
}

// formatHeadroom formats the free parts of services, links and other limits as
// percentages, sorted by name.
func formatHeadroom(values map[string]float64) string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s=%.0f%%", name, 100*values[name])
	}
	return strings.Join(names, " ")
}
