package settings

// Member names another host of the system.
type Member struct {
	Name string `toml:"name" help:"Name of the host."`
	Peer string `toml:"peer" help:"IP:port for messages between the system's own processes."`
	HTTP string `toml:"http" optional:"yes" help:"IP:port of its HTTP API."`
}
