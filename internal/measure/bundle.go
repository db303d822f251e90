package measure

import (
	"os"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// readBundle parses the TOML bundle in file.
func readBundle(file string) (*bundle.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	b, found := bundle.Parse(file, text)
	return b, found.Err()
}
