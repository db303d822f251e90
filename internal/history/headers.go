package history

import (
	"crypto/ed25519"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

const (
	rootBytes     = len(bundle.Digest{})
	operatorBytes = 2
	entryBytes    = rootBytes + operatorBytes + ed25519.SignatureSize
)

// headers stores the headers of all versions compactly. Version number and previous
// root are implied by the position, which leaves 98 bytes for an entry; a year at the
// planned 1,200 versions a day takes 43 MB.
type headers struct {
	operators []string
	packed    []byte // root, index into operators and signature of versions 1, 2, ...
}

func (h *headers) count() uint64 { return uint64(len(h.packed) / entryBytes) }

// at returns the header of an existing version.
func (h *headers) at(version uint64) bundle.Header {
	entry := h.packed[(version-1)*uint64(entryBytes):][:entryBytes]
	header := bundle.Header{Version: version, Root: bundle.Digest(entry[:rootBytes]),
		Operator:  h.operators[binary.BigEndian.Uint16(entry[rootBytes:])],
		Signature: slices.Clone(entry[rootBytes+operatorBytes:])}
	if version > 1 {
		copy(header.Previous[:], h.packed[(version-2)*uint64(entryBytes):])
	}
	return header
}

// add appends the header of the next version. Its signature has to be verified.
func (h *headers) add(header *bundle.Header) {
	operatorIndex := slices.Index(h.operators, header.Operator)
	if operatorIndex < 0 {
		operatorIndex = len(h.operators)
		h.operators = append(h.operators, header.Operator)
	}
	h.packed = append(h.packed, header.Root[:]...)
	h.packed = binary.BigEndian.AppendUint16(h.packed, uint16(operatorIndex))
	h.packed = append(h.packed, header.Signature...)
}

var errHeaders = errors.New("headers are malformed")

// check validates the length and the operator indexes of headers from a snapshot.
func (h *headers) check() error {
	if len(h.packed)%entryBytes != 0 || len(h.operators) > 1<<(8*operatorBytes) {
		return errHeaders
	}
	for at := rootBytes; at < len(h.packed); at += entryBytes {
		if operatorIndex := int(binary.BigEndian.Uint16(h.packed[at:])); operatorIndex >= len(h.operators) {
			return fmt.Errorf("%w: operator index %d is out of range, %d operators are listed", errHeaders, operatorIndex, len(h.operators))
		}
	}
	return nil
}
