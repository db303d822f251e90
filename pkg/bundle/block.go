package bundle

// CallerBlock assigns an address block of callers to its home availability zone.
type CallerBlock struct {
	Prefix           string `toml:"prefix" cbor:"1,keyasint" json:"prefix"` // CIDR
	AvailabilityZone string `toml:"zone" cbor:"2,keyasint" json:"zone"`
}
