package bundle

// DrainKind is the kind of object that a drain takes out of service.
type DrainKind string

// Kinds of drains.
const (
	DrainTarget DrainKind = "target" // name is the target's IP:port
	DrainZone   DrainKind = "zone"
	DrainRegion DrainKind = "region"
	DrainHost   DrainKind = "host" // name is that of an entry host
)

// Drain keeps new work away from a target, availability zone, region or entry host.
type Drain struct {
	Kind DrainKind `toml:"kind" cbor:"1,keyasint" json:"kind"`
	Name string    `toml:"name" cbor:"2,keyasint" json:"name"`
}
