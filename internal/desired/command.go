package desired

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Document is a policy as an operator sent it.
type Document struct {
	Version policy.Version `cbor:"1,keyasint"`
	Body    []byte         `cbor:"2,keyasint"`
}

// Departure says that a target is leaving.
type Departure struct {
	Name string      `cbor:"1,keyasint"`
	Life roster.Life `cbor:"2,keyasint"` // lives up to this one
	// Index is the place in the history, set when the command is applied.
	Index uint64 `cbor:"3,keyasint,omitempty"`
}

// Command changes the state; one field is set. Each command may be repeated.
type Command struct {
	Document  *Document  `cbor:"1,keyasint,omitempty"`
	Evacuate  string     `cbor:"2,keyasint,omitempty"` // availability zone
	Readmit   string     `cbor:"3,keyasint,omitempty"` // availability zone
	Departure *Departure `cbor:"4,keyasint,omitempty"`
}

// Encode returns the command as an entry of the history.
func (c *Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return data, nil
}
