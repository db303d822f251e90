package bundle

import (
	"fmt"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle/tomldoc"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// document is the TOML form of a bundle. Blocks may be written one by one or
// grouped by availability zone; groups keep large files small and fast to parse.
type document struct {
	Version    uint64             `toml:"version"`
	Deployment string             `toml:"deployment"`
	Regions    []Region           `toml:"region"`
	Zones      []AvailabilityZone `toml:"zone"`
	Hosts      []Host             `toml:"host"`
	Links      []Link             `toml:"link"`
	Services   []Service          `toml:"service"`
	Blocks     []CallerBlock      `toml:"block"`
	Groups     []BlockGroup       `toml:"blocks"`
	Drains     []Drain            `toml:"drain"`
}

// BlockGroup is the TOML form of all blocks of one availability zone.
type BlockGroup struct {
	AvailabilityZone string   `toml:"zone"`
	Prefixes         []string `toml:"prefixes"`
}

// Parse decodes and checks a TOML file. It returns either a canonical bundle or
// the findings, sorted by line; with findings the bundle is nil.
func Parse(file string, text []byte) (*Bundle, finding.List) {
	var doc document
	found := tomldoc.Decode(file, text, &doc)
	if len(found) == 0 || found[0].Key != "" { // a finding without a key is a syntax error: there is no content to check
		c := newChecker(file, doc.bundle(), doc.blockKey)
		c.found = found
		c.run()
		found = c.found
	}
	if len(found) > 0 {
		tomldoc.Locate(text, found)
		sortFindings(found)
		return nil, found
	}
	b := doc.bundle()
	b.Canonicalize()
	return b, nil
}

// bundle returns the content with all block groups expanded, not yet canonical.
func (d *document) bundle() *Bundle {
	b := &Bundle{Version: d.Version, Deployment: d.Deployment, Regions: d.Regions, Zones: d.Zones,
		Hosts: d.Hosts, Links: d.Links, Services: d.Services, Drains: d.Drains}
	total := len(d.Blocks)
	for _, g := range d.Groups {
		total += len(g.Prefixes)
	}
	if total == 0 {
		return b
	}
	b.Blocks = append(make([]CallerBlock, 0, total), d.Blocks...)
	for _, g := range d.Groups {
		for _, p := range g.Prefixes {
			b.Blocks = append(b.Blocks, CallerBlock{Prefix: p, AvailabilityZone: g.AvailabilityZone})
		}
	}
	return b
}

// blockKey returns the TOML key of a field, prefix or zone, of block i of the
// expanded list.
func (d *document) blockKey(i int, field string) string {
	if i < len(d.Blocks) {
		return fmt.Sprintf("block[%d].%s", i, field)
	}
	i -= len(d.Blocks)
	for g := range d.Groups {
		if n := len(d.Groups[g].Prefixes); i >= n {
			i -= n
			continue
		}
		if field == "zone" {
			return fmt.Sprintf("blocks[%d].zone", g)
		}
		return fmt.Sprintf("blocks[%d].prefixes[%d]", g, i)
	}
	return "blocks"
}
