// Package settings loads the TOML settings file of each program. All problems of a
// file are reported together, each with file, line and key, and the program does
// not start.
package settings

import (
	"cmp"
	"os"
	"slices"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle/tomldoc"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

const defaultLogLevel = "info"

// load decodes file into dst and runs check on the result. The error is a
// finding.List sorted by line.
func load(file string, dst any, check func(*checker)) error {
	text, err := os.ReadFile(file)
	if err != nil {
		var found finding.List
		found.Add(file, 0, "", "%v", err)
		return found
	}
	c := &checker{file: file, found: tomldoc.Decode(file, text, dst)}
	if len(c.found) == 0 || c.found[0].Key != "" { // a finding without a key is a syntax error: nothing was decoded
		check(c)
	}
	tomldoc.Locate(text, c.found)
	slices.SortStableFunc(c.found, func(x, y finding.Finding) int { return cmp.Compare(x.Line, y.Line) })
	return c.found.Err()
}
