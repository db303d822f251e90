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

// Identity identifies the owner and the content of a data folder. A folder that was
// lost and created again has another incarnation.
type Identity struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"` // random 128 bits in hex, generated when the folder is initialized
	Kind        string `json:"kind"`
	Format      int    `json:"format"`
}

func newIdentity(host, kind string) Identity {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return Identity{Host: host, Incarnation: hex.EncodeToString(b[:]), Kind: kind, Format: formatVersion}
}

// parseIdentity decodes the identity file. The error is a finding.List of every
// mismatch with o.
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
