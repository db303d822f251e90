// Package settings reads the TOML settings of each program. All problems are
// reported together, each with file, line and key; no program starts on a file
// that has any.
package settings

import (
	"cmp"
	"os"
	"slices"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle/tomldoc"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

const defaultLogLevel = "info"

// load decodes file into dst and runs check on the result.
func load(file string, dst any, check func(*checker)) error {
	text, err := os.ReadFile(file)
	if err != nil {
		var found finding.List
		found.Add(file, 0, "", "%v", err)
		return found
	}
	c := &checker{file: file, found: tomldoc.Decode(file, text, dst)}
	if len(c.found) == 0 || c.found[0].Key != "" { // without a key: syntax error, nothing to check
		check(c)
	}
	tomldoc.Locate(text, c.found)
	slices.SortStableFunc(c.found, func(x, y finding.Finding) int { return cmp.Compare(x.Line, y.Line) })
	return c.found.Err()
}
