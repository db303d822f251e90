package settings

import (
	"fmt"
	"os"
)

// Ctl holds the settings of hornbeamctl.
type Ctl struct {
	ControlHosts []string `toml:"control_hosts" help:"HTTP IP:port of the control hosts; any of them answers."`
	Operator     string   `toml:"operator" optional:"yes" help:"Name that bundles are signed with."`
	KeyFile      string   `toml:"key_file" optional:"yes" help:"File with the operator's private key, from 'hornbeamctl key new'."`
}

func (s *Ctl) check(c *checker) {
	seen := map[string]bool{}
	if len(s.ControlHosts) == 0 {
		c.add("control_hosts", "is missing")
	}
	for i, addr := range s.ControlHosts {
		key := fmt.Sprintf("control_hosts[%d]", i)
		c.address(key, addr)
		if seen[addr] {
			c.add(key, "%q is named twice", addr)
		}
		seen[addr] = true
	}
	if s.KeyFile != "" {
		if _, err := os.Stat(s.KeyFile); err != nil {
			c.add("key_file", "%v", err)
		}
	}
}

// LoadCtl reads and checks the settings of hornbeamctl. The error is a finding.List.
func LoadCtl(file string) (*Ctl, error) {
	s := &Ctl{}
	return s, load(file, s, s.check)
}
