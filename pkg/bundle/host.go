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
	Name             string `toml:"name"`
	AvailabilityZone string `toml:"zone"`
	Role             Role   `toml:"role"`
	Peer             string `toml:"peer"` // IP:port for messages between own processes
	HTTP             string `toml:"http"` // IP:port for callers, targets and operators
}
