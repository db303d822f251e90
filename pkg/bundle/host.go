package bundle

// Role is the role of a host.
type Role string

// Roles of hosts.
const (
	RoleEntry   Role = "entry"   // accepts requests of callers and forwards them to targets
	RoleControl Role = "control" // is a member of the agreement group
)

// Host is an entry host or a control host.
type Host struct {
	Name             string `toml:"name" cbor:"1,keyasint" json:"name"`
	AvailabilityZone string `toml:"zone" cbor:"2,keyasint" json:"zone"`
	Role             Role   `toml:"role" cbor:"3,keyasint" json:"role"`
	Peer             string `toml:"peer" cbor:"4,keyasint" json:"peer"` // IP:port for messages between the system's own processes
	HTTP             string `toml:"http" cbor:"5,keyasint" json:"http"` // IP:port for callers, targets and operators
}
