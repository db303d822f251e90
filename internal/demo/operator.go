package demo

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// ctlCommand runs hornbeamctl and returns its combined standard output and error,
// trimmed.
func (d *demo) ctlCommand(ctx context.Context, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(d.bin, "hornbeamctl"), args...).CombinedOutput()
	text := strings.TrimSpace(string(out))
	if err != nil {
		return text, fmt.Errorf("hornbeamctl %s: %w: %s", strings.Join(args, " "), err, text)
	}
	return text, nil
}

// show runs hornbeamctl with the operator's settings and prints its output.
func (d *demo) show(ctx context.Context, args ...string) error {
	text, err := d.ctlCommand(ctx, append([]string{"--settings", d.ctl}, args...)...)
	if err != nil {
		return err
	}
	for line := range strings.Lines(text) {
		d.printf("   %s", strings.TrimRight(line, "\n"))
	}
	return nil
}
