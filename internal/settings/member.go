package settings

// Member holds the name and addresses of a host in a list of hosts.
type Member struct {
	Name string `toml:"name" help:"Name of the host."`
	Peer string `toml:"peer" help:"IP:port for messages between the system's own processes."`
	HTTP string `toml:"http" optional:"yes" help:"IP:port of its HTTP API."`
}
