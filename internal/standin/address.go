package standin

import (
	"fmt"
	"strings"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// port is the TCP port of the stand-in targets of the demo and of measurements.
const port = 9000

// AddressIn returns the IP:port of the stand-in target with the given number in a
// zone. The number is the last octet of the IP; the zone's first target prefix must
// be an IPv4 /24.
func AddressIn(z bundle.AvailabilityZone, number int) string {
	network, _, _ := strings.Cut(z.TargetPrefixes[0], "/")
	return fmt.Sprintf("%s%d:%d", network[:strings.LastIndexByte(network, '.')+1], number, port)
}
