package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// logFile writes a log file and returns its path.
func logFile(t *testing.T, name string, lines ...string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// explainRun runs hornbeamctl explain and returns the exit code, the output and
// the error output.
func explainRun(t *testing.T, line ...string) (int, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := Run(context.Background(), append([]string{"explain"}, line...), &out, &errOut)
	return code, out.String(), errOut.String()
}

// TestExplain guards against lines that are lost, out of order, or of another request.
func TestExplain(t *testing.T) {
	a := logFile(t, "a.log",
		`  12.5 edge-1 time=2026-12-04T10:00:02.5Z level=warn msg="attempt failed" id=r1 target=t1 outcome="timed out"`,
		`time=2026-12-04T10:00:01Z level=info msg="request accepted" id=r10`)
	b := logFile(t, "b.log", `time=2026-12-04T10:00:01.25Z level=info msg="request accepted" id=r1 route=x`, `free text about r1`)
	code, out, _ := explainRun(t, "r1", a, b)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if code != ExitDone || len(lines) != 2 || !strings.Contains(lines[0], "request accepted") || !strings.Contains(lines[1], "timed out") {
		t.Errorf("exit %d, lines:\n%s", code, out)
	}
	code, out, _ = explainRun(t, "--json", "r1", a, b)
	var report struct {
		Lines []struct {
			Line   int
			Fields map[string]string
		}
	}
	if err := json.Unmarshal([]byte(out), &report); err != nil || code != ExitDone || len(report.Lines) != 2 || report.Lines[1].Fields["outcome"] != "timed out" {
		t.Errorf("exit %d, %v: %s", code, err, out)
	}
}

// TestExplainNamesUnreadableLines guards against lines about the request that
// cannot be decoded and are skipped silently.
func TestExplainNamesUnreadableLines(t *testing.T) {
	file := logFile(t, "a.log", `time=2026-12-04T10:00:01Z id=r1 msg="x"`, `time=never id=r1`, `id=r1 without a time`)
	code, out, errOut := explainRun(t, "r1", file)
	if code != ExitUsage || !strings.Contains(out, "a.log:1") || !strings.Contains(errOut, ":2") || !strings.Contains(errOut, ":3") {
		t.Errorf("exit %d, output:\n%s%s", code, out, errOut)
	}
	if code, _, errOut = explainRun(t, "r1", file+".missing"); code != ExitUsage || !strings.Contains(errOut, "missing") {
		t.Errorf("missing file: exit %d, %s", code, errOut)
	}
	if code, _, _ = explainRun(t, "r2", file); code != ExitFailed {
		t.Errorf("unknown request: exit %d", code)
	}
}
