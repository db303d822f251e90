package wal

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"path/filepath"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

const (
	identityName     = "identity"
	incarnationBytes = 16
)

// Identity tells whose folder it is. A folder that was lost and made anew has
// another incarnation.
type Identity struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"` // random 128 bit as hex, made once per folder
	Kind        string `json:"kind"`
	Format      int    `json:"format"`
}

func newIdentity(host, kind string) Identity {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return Identity{Host: host, Incarnation: hex.EncodeToString(b[:]), Kind: kind, Format: formatVersion}
}

// parseIdentity reads the identity file and reports every mismatch with o.
func parseIdentity(data []byte, o Options) (Identity, error) {
	file := filepath.Join(o.Folder, identityName)
	var list finding.List
	var id Identity
	if err := json.Unmarshal(data, &id); err != nil {
		list.Add(file, 0, "", "identity is not readable: %v", err)
		return id, list.Err()
	}
	if id.Format != formatVersion {
		list.Add(file, 0, "format", "format %d is unknown, this program reads format %d", id.Format, formatVersion)
	}
	if id.Host != o.Host {
		list.Add(file, 0, "host", "folder belongs to host %q, not to %q", id.Host, o.Host)
	}
	if id.Kind != o.Kind {
		list.Add(file, 0, "kind", "folder holds a log of kind %q, not %q", id.Kind, o.Kind)
	}
	if b, err := hex.DecodeString(id.Incarnation); err != nil || len(b) != incarnationBytes {
		list.Add(file, 0, "incarnation", "incarnation %q is not %d bytes of hex", id.Incarnation, incarnationBytes)
	}
	return id, list.Err()
}

func encodeIdentity(id Identity) ([]byte, error) {
	data, err := json.Marshal(id)
	if err != nil {
		return nil, fmt.Errorf("encode identity: %w", err)
	}
	return append(data, '\n'), nil
}
