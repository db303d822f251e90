package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"slices"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

var logLevels = []string{"debug", "info", "warn", "error"}

// checker collects the findings about one file.
type checker struct {
	file  string
	found finding.List
}

// add records a finding, unless the key already has one, such as a wrong type.
func (c *checker) add(key, format string, args ...any) {
	for _, f := range c.found {
		if f.Key == key {
			return
		}
	}
	c.found.Add(c.file, 0, key, format, args...)
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.add(key, "is missing")
	}
}

func (c *checker) address(key, value string) {
	if problem := bundle.AddressProblem(value); problem != "" {
		c.add(key, "%s", problem)
	}
}

// program checks the settings that entry and control hosts have in common.
func (c *checker) program(host, zone, peer, http, level string) {
	c.required("host", host)
	c.required("zone", zone)
	c.address("peer", peer)
	c.address("http", http)
	if peer != "" && peer == http {
		c.add("http", "%q is already used by peer", http)
	}
	if !slices.Contains(logLevels, level) {
		c.add("log_level", "must be one of %v, not %q", logLevels, level)
	}
}

// members checks a list of hosts. The list may be empty unless needed is set.
func (c *checker) members(list string, members []Member, needed bool) {
	if needed && len(members) == 0 {
		c.add(list, "at least one is needed")
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, m := range members {
		key := fmt.Sprintf("%s[%d].", list, i)
		c.required(key+"name", m.Name)
		c.unique(names, key+"name", m.Name)
		c.address(key+"peer", m.Peer)
		c.unique(addresses, key+"peer", m.Peer)
		if m.HTTP != "" {
			c.address(key+"http", m.HTTP)
			c.unique(addresses, key+"http", m.HTTP)
		}
	}
}

// unique adds a finding if value is in seen, and adds value to seen. Empty values
// are ignored, because required and address report them.
func (c *checker) unique(seen map[string]bool, key, value string) {
	if value != "" && seen[value] {
		c.add(key, "%q is named twice", value)
	}
	seen[value] = true
}

// ownMembership checks that a control host is listed in its own group, with its own
// peer address.
func (c *checker) ownMembership(s *Control) {
	for i, m := range s.Members {
		if m.Name == s.Host {
			if m.Peer != s.Peer {
				c.add(fmt.Sprintf("member[%d].peer", i), "%q differs from this host's own peer address %q", m.Peer, s.Peer)
			}
			return
		}
	}
	if len(s.Members) > 0 && s.Host != "" {
		c.add("member", "this host %q is not among the members", s.Host)
	}
}

// keys checks the operators' public keys.
func (c *checker) keys(keys map[string]string) {
	if len(keys) == 0 {
		c.add("operator_keys", "at least one key is needed")
	}
	seen := map[string]bool{}
	for _, operator := range sortedNames(keys) {
		key := "operator_keys." + operator
		if operator == "" {
			c.add(key, "the operator has no name")
		}
		if _, err := parseKey(keys[operator]); err != nil {
			c.add(key, "%v", err)
			continue
		}
		c.unique(seen, key, keys[operator])
	}
}

func sortedNames(keys map[string]string) []string {
	names := make([]string, 0, len(keys))
	for name := range keys {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// parseKey decodes an ed25519 public key from base64.
func parseKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("is not base64: %w", err)
	}
	if len(raw) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("has %d bytes, an ed25519 public key has %d", len(raw), ed25519.PublicKeySize)
	}
	return ed25519.PublicKey(raw), nil
}

// PublicKeys decodes the operator keys of a settings file. It returns no error for
// keys of a file that was loaded without findings.
func PublicKeys(keys map[string]string) (map[string]ed25519.PublicKey, error) {
	parsed := make(map[string]ed25519.PublicKey, len(keys))
	for operator, text := range keys {
		key, err := parseKey(text)
		if err != nil {
			return nil, fmt.Errorf("key of operator %q %w", operator, err)
		}
		parsed[operator] = key
	}
	return parsed, nil
}
