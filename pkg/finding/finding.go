// Package finding collects the problems of an input, each with its file, line and
// key, so that they can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem in an input file.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"` // 1-based, 0 if unknown
	Key     string `json:"key,omitempty"`  // dotted key such as zone[0].name, or empty
	Message string `json:"message"`
}

func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s", place, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Key, f.Message)
}

// List is a list of findings; it is empty if the input is valid.
type List []Finding

// Add appends a finding.
func (l *List) Add(file string, line int, key, format string, args ...any) {
	*l = append(*l, Finding{File: file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// Error returns the text of all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
