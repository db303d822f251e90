// Package bundle holds the versioned configuration that operators sign and roll
// out: regions, availability zones, hosts, links, services, caller blocks and
// drains. It parses, checks, digests, signs and encodes versions.
package bundle

// Bundle holds the content of one version. Operators write it as TOML.
type Bundle struct {
	Version    uint64             `toml:"version" json:"version"`
	Deployment string             `toml:"deployment" json:"deployment"`
	Regions    []Region           `toml:"region" json:"region"`
	Zones      []AvailabilityZone `toml:"zone" json:"zone"`
	Hosts      []Host             `toml:"host" json:"host"`
	Links      []Link             `toml:"link" json:"link"`
	Services   []Service          `toml:"service" json:"service"`
	Blocks     []CallerBlock      `toml:"block" json:"block"`
	Drains     []Drain            `toml:"drain" json:"drain"`
}
