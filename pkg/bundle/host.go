package bundle

// Role tells what a host of the system does.
type Role string

// Roles of hosts.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Host is a machine of the system.
type Host struct {
	Name             string `toml:"name" cbor:"1,keyasint" json:"name"`
	AvailabilityZone string `toml:"zone" cbor:"2,keyasint" json:"zone"`
	Role             Role   `toml:"role" cbor:"3,keyasint" json:"role"`
	Peer             string `toml:"peer" cbor:"4,keyasint" json:"peer"` // IP:port for messages between own processes
	HTTP             string `toml:"http" cbor:"5,keyasint" json:"http"` // IP:port for callers, targets and operators
}
