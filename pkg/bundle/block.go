package bundle

// CallerBlock maps a block of caller addresses to its home availability zone.
type CallerBlock struct {
	Prefix           string `toml:"prefix"` // CIDR
	AvailabilityZone string `toml:"zone"`
}
