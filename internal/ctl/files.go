package ctl

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// readBundle reads and checks a bundle file in TOML. The error for invalid content
// wraps a finding.List.
func readBundle(file string) (*bundle.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput("%w", err)
	}
	b, found := bundle.Parse(file, text)
	if len(found) > 0 {
		return nil, &exitError{ExitUsage, found}
	}
	return b, nil
}

// readSigned reads a signed file that hornbeamctl bundle sign wrote.
func readSigned(file string) (*bundle.Signed, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput("%w", err)
	}
	if !isSigned(text) {
		return nil, badInput("%s is not a signed file; write one with hornbeamctl bundle sign", file)
	}
	signed := &bundle.Signed{}
	if err := json.Unmarshal(text, signed); err != nil {
		return nil, badInput("%s: %w", file, err)
	}
	return signed, nil
}

// isSigned reports whether text is a signed file, which is a JSON object, and not
// a TOML file.
func isSigned(text []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) }

// readContent reads the bundle from a TOML file or a signed file.
func readContent(file string) (*bundle.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput("%w", err)
	}
	if !isSigned(text) {
		return readBundle(file)
	}
	signed, err := readSigned(file)
	if err != nil {
		return nil, err
	}
	b, err := bundle.DecodeSnapshot(signed.Snapshot)
	if err != nil {
		return nil, badInput("%s: %w", file, err)
	}
	return b, nil
}
