package claim

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

// ErrKey is returned for an idempotency key that is not a UUIDv7.
var ErrKey = errors.New("idempotency key is not a UUIDv7")

// Key names one request of a caller to a service.
type Key struct {
	Service string   `cbor:"1,keyasint"`
	ID      [16]byte `cbor:"2,keyasint"`
}

// ParseKey reads the text form of a UUIDv7 (RFC 9562).
func ParseKey(service, text string) (Key, error) {
	// uuid.Parse also admits braces and URN forms, which would give one request two spellings.
	if len(text) != 36 {
		return Key{}, fmt.Errorf("%w: %q", ErrKey, text)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, fmt.Errorf("%w: %q", ErrKey, text)
	}
	return Key{Service: service, ID: id}, nil
}

// Time returns the timestamp in the key.
func (k Key) Time() time.Time {
	ms := binary.BigEndian.Uint64(k.ID[:8]) >> 16
	return time.UnixMilli(int64(ms))
}

func (k Key) String() string { return k.Service + "/" + uuid.UUID(k.ID).String() }
