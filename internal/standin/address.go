package standin

import (
	"fmt"
	"strings"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// port is where stand-in targets of the demo and of measurements listen.
const port = 9000

// AddressIn returns the address of a stand-in target by its number in a zone,
// whose first target prefix must be an IPv4 /24.
func AddressIn(z bundle.AvailabilityZone, number int) string {
	network, _, _ := strings.Cut(z.TargetPrefixes[0], "/")
	return fmt.Sprintf("%s%d:%d", network[:strings.LastIndexByte(network, '.')+1], number, port)
}
