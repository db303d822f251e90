package bundle

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// checker collects the findings of one bundle.
type checker struct {
	file     string
	b        *Bundle
	blockKey func(i int, field string) string // key of a field of block i, for findings
	found    finding.List

	previous *Bundle           // previous version, already checked; nil if there is none
	regions  map[string]bool   // names of existing regions
	zones    map[string]string // region by zone name
}

func newChecker(file string, b *Bundle, blockKey func(int, string) string) *checker {
	return &checker{file: file, b: b, blockKey: blockKey, regions: map[string]bool{}, zones: map[string]string{}}
}

// CheckContent checks a bundle that does not come from a TOML file. Findings
// have name in place of a file and no lines.
func CheckContent(name string, b *Bundle) finding.List {
	c := newChecker(name, b, recordKey(b))
	c.run()
	return c.found
}

// recordKey returns a blockKey function for bundles without a file. It identifies
// a block by its record key.
func recordKey(b *Bundle) func(int, string) string {
	return func(i int, _ string) string { return "block/" + b.Blocks[i].Prefix }
}

func (c *checker) run() {
	c.checkTopLevel()
	c.checkRegions()
	c.checkZones()
	c.checkTargetPrefixes()
	c.checkHosts()
	c.checkHostPlacement()
	c.checkLinks()
	c.checkServices()
	c.checkChangedBlocks()
	c.checkDrains()
}

func (c *checker) add(key, format string, args ...any) {
	c.found.Add(c.file, 0, key, format, args...)
}

// checkTopLevel checks the fields that are not lists.
func (c *checker) checkTopLevel() {
	if c.b.Version == 0 {
		c.add("version", "must be 1 or more")
	}
	c.name("deployment", c.b.Deployment)
}

// name checks that a name is not empty and can be part of a record key and a URL.
func (c *checker) name(key, name string) bool {
	if name == "" {
		c.add(key, "is missing")
		return false
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.' {
			c.add(key, "%q may hold only a to z, 0 to 9, '-', '_' and '.'", name)
			return false
		}
	}
	return true
}

// keyByValue maps each value seen to the key that used it first.
type keyByValue map[string]string

// unique adds a finding if the value has been seen before. Empty values are ignored.
func (c *checker) unique(seen keyByValue, key, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		c.add(key, "%q is already used by %s", value, first)
		return
	}
	seen[value] = key
}

// keyAt returns the key of a list element, or of one of its fields.
func keyAt(list string, i int, field string) string {
	if field == "" {
		return fmt.Sprintf("%s[%d]", list, i)
	}
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}

// sortFindings sorts findings by line and keeps the order of the checks within a line.
func sortFindings(found finding.List) {
	slices.SortStableFunc(found, func(x, y finding.Finding) int { return cmp.Compare(x.Line, y.Line) })
}
