package bundle

import (
	"bytes"
	"fmt"

	"github.com/BurntSushi/toml"
)

// TOML encodes a canonical bundle as a file that Parse accepts, with the caller
// blocks grouped by availability zone.
func (b *Bundle) TOML() ([]byte, error) {
	doc := document{Version: b.Version, Deployment: b.Deployment, Regions: b.Regions, Zones: b.Zones,
		Hosts: b.Hosts, Links: b.Links, Services: b.Services, Groups: groupBlocks(b.Blocks), Drains: b.Drains}
	var buf bytes.Buffer
	encoder := toml.NewEncoder(&buf)
	encoder.Indent = ""
	if err := encoder.Encode(&doc); err != nil {
		return nil, fmt.Errorf("render bundle: %w", err)
	}
	return buf.Bytes(), nil
}

// groupBlocks groups caller blocks by availability zone, in order of first use.
func groupBlocks(blocks []CallerBlock) []BlockGroup {
	var all []BlockGroup
	index := map[string]int{}
	for i := range blocks {
		zone := blocks[i].AvailabilityZone
		g, ok := index[zone]
		if !ok {
			g = len(all)
			index[zone] = g
			all = append(all, BlockGroup{AvailabilityZone: zone})
		}
		all[g].Prefixes = append(all[g].Prefixes, blocks[i].Prefix)
	}
	return all
}
