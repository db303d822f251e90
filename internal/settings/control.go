package settings

// Control holds the settings of hornbeam-control.
type Control struct {
	Host             string            `toml:"host" help:"Name of this host, as in the bundle."`
	AvailabilityZone string            `toml:"zone" help:"Availability zone of this host, as in the bundle."`
	Peer             string            `toml:"peer" help:"IP:port for messages between the system's own processes."`
	PeerListen       string            `toml:"peer_listen" optional:"yes" help:"IP:port to accept these messages on, if it differs from peer, as behind a port forwarder."`
	HTTP             string            `toml:"http" help:"IP:port for operators."`
	DataFolder       string            `toml:"data_folder" help:"Folder of the bundle log and the claim records."`
	Members          []Member          `toml:"member" help:"All control hosts of the agreement group, this one included."`
	OperatorKeys     map[string]string `toml:"operator_keys" help:"Public ed25519 key in base64 of each operator, by name. Must be equal on all control hosts."`
	LogLevel         string            `toml:"log_level" default:"info" help:"debug, info, warn or error."`
	TraceFile        string            `toml:"trace_file" optional:"yes" help:"File that spans are appended to; no file, no spans."`
}

func (s *Control) check(c *checker) {
	c.program(s.Host, s.AvailabilityZone, s.Peer, s.HTTP, s.LogLevel)
	if s.DataFolder == "" {
		c.add("data_folder", "is missing")
	}
	c.members("member", s.Members, true)
	c.ownMembership(s)
	c.keys(s.OperatorKeys)
}

// LoadControl reads and checks the settings of hornbeam-control. The error is a finding.List.
func LoadControl(file string) (*Control, error) {
	s := &Control{LogLevel: defaultLogLevel}
	return s, load(file, s, s.check)
}
