// Command gendoc writes docs/settings.md from the settings types. Run it in the
// root of the repository.
package main

import (
	"log"
	"os"

	"github.com/hornbeamstack/hornbeamstack/internal/settings"
)

func main() {
	if err := os.WriteFile("docs/settings.md", []byte(settings.Reference()), 0o644); err != nil {
		log.Fatal(err)
	}
}
