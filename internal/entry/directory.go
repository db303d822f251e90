package entry

import (
	"net/netip"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// Directory gives access to the bundle in force.
type Directory interface {
	Service(name string) (bundle.Service, bool)
	EntryHosts() int // number of entry hosts in all zones
	Region() string  // region of this host
}

// Lookups chooses the entry hosts that a caller should use.
type Lookups interface {
	Lookup(caller netip.Addr, service string) (LookupAnswer, bool)
}

// LookupAnswer tells a caller which entry hosts to use, best first.
type LookupAnswer struct {
	Service    string       `json:"service"`
	Zone       string       `json:"zone"` // home availability zone of the caller
	LifetimeMs int64        `json:"lifetime_ms"`
	Version    uint64       `json:"version"` // bundle version that the answer was made from
	Hosts      []LookupHost `json:"hosts"`
}

// LookupHost is one entry host of a look-up answer.
type LookupHost struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port
	Zone    string `json:"zone"`
}
