package bundle

// AvailabilityZone is a failure domain with its own entry hosts and targets.
type AvailabilityZone struct {
	Name           string   `toml:"name" cbor:"1,keyasint" json:"name"`
	Region         string   `toml:"region" cbor:"2,keyasint" json:"region"`
	TargetPrefixes []string `toml:"target_prefixes" cbor:"3,keyasint" json:"target_prefixes"` // CIDR; a target's address must lie in one of them
}
