package bundle

// AvailabilityZone is a failure domain with its own entry hosts and targets.
type AvailabilityZone struct {
	Name           string   `toml:"name"`
	Region         string   `toml:"region"`
	TargetPrefixes []string `toml:"target_prefixes"` // CIDR; a target's address must lie in one of them
}
