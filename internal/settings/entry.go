package settings

import "fmt"

// Entry holds the settings of hornbeam-entry.
type Entry struct {
	Host             string            `toml:"host" help:"Name of this host, as in the bundle."`
	AvailabilityZone string            `toml:"zone" help:"Availability zone of this host, as in the bundle."`
	Peer             string            `toml:"peer" help:"IP:port for messages between the system's own processes."`
	PeerListen       string            `toml:"peer_listen" optional:"yes" help:"IP:port to accept these messages on, if it differs from peer, as behind a port forwarder."`
	HTTP             string            `toml:"http" help:"IP:port for callers and targets."`
	ControlHosts     []Member          `toml:"control_host" help:"All control hosts; asked for the bundle in force."`
	ZoneHosts        []Member          `toml:"zone_host" optional:"yes" help:"Other entry hosts of the zone; asked for the bundle in force when control is out of reach."`
	OperatorKeys     map[string]string `toml:"operator_keys" help:"Public ed25519 key in base64 of each operator, by name."`
	LogLevel         string            `toml:"log_level" default:"info" help:"debug, info, warn or error."`
	TraceFile        string            `toml:"trace_file" optional:"yes" help:"File that spans are appended to; no file, no spans."`
}

func (e *Entry) check(c *checker) {
	c.program(e.Host, e.AvailabilityZone, e.Peer, e.HTTP, e.LogLevel)
	c.members("control_host", e.ControlHosts, true)
	c.members("zone_host", e.ZoneHosts, false)
	for i, m := range e.ZoneHosts {
		if m.Name == e.Host || m.Peer == e.Peer {
			c.add(fmt.Sprintf("zone_host[%d]", i), "is this host itself; name the other hosts of the zone")
		}
	}
	c.keys(e.OperatorKeys)
}

// LoadEntry reads and checks the settings of hornbeam-entry. The error is a finding.List.
func LoadEntry(file string) (*Entry, error) {
	e := &Entry{LogLevel: defaultLogLevel}
	return e, load(file, e, e.check)
}
