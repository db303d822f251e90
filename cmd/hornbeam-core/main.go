// Command hornbeam-core runs a control host on the platform.
package main

import "github.com/hornbeamstack/hornbeamstack/internal/platformnode"

func main() {
	platformnode.Main("hornbeam-core", "Runs a control host on the platform.", platformnode.RunCore)
}
