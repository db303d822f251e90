package desired

import (
	"fmt"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Document is a policy as an operator sent it.
type Document struct {
	Version policy.Version `cbor:"1,keyasint"`
	Body    []byte         `cbor:"2,keyasint"`
	// Services are the services that the policy names, so that control hosts need not
	// decode the body. Documents that an earlier version committed have none.
	Services []string `cbor:"3,keyasint,omitempty"`
}

// Departure records that a target is leaving.
type Departure struct {
	Name string      `cbor:"1,keyasint"`
	Life roster.Life `cbor:"2,keyasint"` // newest life that is leaving; includes all earlier ones
	// Index is the log index of the command, set when it is applied.
	Index uint64 `cbor:"3,keyasint,omitempty"`
}

// Command changes the desired state. Exactly one field besides Basis is set. Commands
// are idempotent, so one whose outcome is unknown may be submitted again.
type Command struct {
	Document  *Document  `cbor:"1,keyasint,omitempty"`
	Evacuate  string     `cbor:"2,keyasint,omitempty"` // availability zone
	Readmit   string     `cbor:"3,keyasint,omitempty"` // availability zone
	Departure *Departure `cbor:"4,keyasint,omitempty"`
	// Basis is the log index of the state at which an order about a zone was accepted, 0
	// if it is unknown. Orders about the zone that were committed later overtake it.
	Basis uint64 `cbor:"5,keyasint,omitempty"`
}

// names returns the names in the command.
func (c *Command) names() []string {
	names := []string{c.Evacuate, c.Readmit}
	if c.Document != nil {
		names = append(names, c.Document.Services...)
	}
	if c.Departure != nil {
		names = append(names, c.Departure.Name)
	}
	return names
}

// Encode returns the command in CBOR, as an entry of the replication log. It returns an
// error if a name is not UTF-8: hosts skip entries that they cannot decode, so that the
// command would be acknowledged without effect.
func (c *Command) Encode() ([]byte, error) {
	for _, name := range c.names() {
		if !utf8.ValidString(name) {
			return nil, fmt.Errorf("encode command: name %q is not valid UTF-8", name)
		}
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}
