// Package bundle holds the versioned configuration that operators sign and
// roll out: services, places and the steering policy.
package bundle

// Bundle is the content of one version. Operators write it as TOML.
type Bundle struct {
	Version    uint64             `toml:"version"`
	Deployment string             `toml:"deployment"`
	Regions    []Region           `toml:"region"`
	Zones      []AvailabilityZone `toml:"zone"`
	Hosts      []Host             `toml:"host"`
	Links      []Link             `toml:"link"`
	Services   []Service          `toml:"service"`
	Blocks     []CallerBlock      `toml:"block"`
	Drains     []Drain            `toml:"drain"`
}
