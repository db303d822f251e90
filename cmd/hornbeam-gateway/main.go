// Command hornbeam-gateway runs an entry host on the platform.
package main

import "github.com/hornbeamstack/hornbeamstack/internal/platformnode"

func main() {
	platformnode.Main("hornbeam-gateway", "Runs an entry host on the platform.", platformnode.RunGateway)
}
