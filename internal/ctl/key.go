package ctl

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"strings"
)

// keyNew creates a key pair, writes the private key to a new file and prints the
// public key. An existing file is never overwritten.
func (c *command) keyNew(a *keyNewArgs) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(a.File, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return badInput("create key file: %w", err)
	}
	_, err = fmt.Fprintln(file, base64.StdEncoding.EncodeToString(private.Seed()))
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return failed("write key file: %w", err)
	}
	text := base64.StdEncoding.EncodeToString(public)
	return c.print(map[string]string{"key_file": a.File, "public_key": text}, "%s", text)
}

// readKey reads a private key file that keyNew wrote.
func readKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, badInput("read key file: %w", err)
	}
	seed, err := base64.StdEncoding.Strict().DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, badInput("%s does not hold a private key written by hornbeamctl key new", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// signer returns the operator's name and key from the options or settings.
func (c *command) signer() (string, ed25519.PrivateKey, error) {
	operator, file := c.args.Operator, c.args.KeyFile
	if operator == "" || file == "" {
		s, err := c.settings()
		if err != nil {
			return "", nil, err
		}
		if operator == "" {
			operator = s.Operator
		}
		if file == "" {
			file = s.KeyFile
		}
	}
	if operator == "" || file == "" {
		return "", nil, badInput("signing needs an operator name and a key file; set them by --operator and --key or in %s", c.args.Settings)
	}
	key, err := readKey(file)
	return operator, key, err
}
