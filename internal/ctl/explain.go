package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// maxLogLine is the longest log line that can be read, in bytes.
const maxLogLine = 1 << 20

// logLine is a decoded log line about a request.
type logLine struct {
	Time   time.Time         `json:"time"`
	File   string            `json:"file"`
	Line   int               `json:"line"`
	Fields map[string]string `json:"fields"`
	text   string
}

// explain prints the lines about one request from several logs in time order.
// Lines that name the request but cannot be decoded are reported as findings.
func (c *command) explain(sub *explainArgs, in io.Reader) error {
	var lines []logLine
	var found finding.List
	files := sub.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		err := withLog(name, in, func(r io.Reader) error {
			return collectLines(name, r, sub.ID, &lines, &found)
		})
		if err != nil {
			return badInput("%v", err)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	if err := c.printLogLines(sub.ID, lines); err != nil {
		return err
	}
	if len(found) > 0 {
		return &exitError{code: ExitUsage, err: found}
	}
	if len(lines) == 0 {
		return &exitError{code: ExitFailed, err: fmt.Errorf("no line names request %q; routine lines are kept for one request in eight", sub.ID)}
	}
	return nil
}

func (c *command) printLogLines(id string, lines []logLine) error {
	if c.args.JSON {
		return c.print(map[string]any{"id": id, "lines": lines}, "")
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(c.out, "%s:%d: %s\n", l.File, l.Line, l.text); err != nil {
			return err
		}
	}
	return nil
}

// withLog opens a log file, or uses in for the name "-", and passes it to read.
func withLog(name string, in io.Reader, read func(io.Reader) error) error {
	if name == "-" {
		return read(in)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return read(f)
}

// collectLines appends to lines those of a log that have the request's id, and to
// found those of them that cannot be decoded.
func collectLines(name string, r io.Reader, id string, lines *[]logLine, found *finding.List) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLogLine)
	named := regexp.MustCompile(`(^|\s)id="?` + regexp.QuoteMeta(id) + `"?(\s|$)`)
	for n := 1; scanner.Scan(); n++ {
		text := scanner.Text()
		if !named.MatchString(text) {
			continue
		}
		fields, at, err := parseLine(text)
		if err != nil {
			found.Add(name, n, "", "a line about the request cannot be read: %v", err)
			continue
		}
		*lines = append(*lines, logLine{Time: at, File: name, Line: n, Fields: fields, text: text})
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}

// parseLine decodes a logfmt line and returns its fields and its time. Text before
// the time field, such as the prefix of a log collector, is skipped.
func parseLine(text string) (map[string]string, time.Time, error) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return nil, time.Time{}, fmt.Errorf("no time field")
	}
	fields := map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(text[start:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	if err := d.Err(); err != nil {
		return nil, time.Time{}, err
	}
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	return fields, at, err
}
