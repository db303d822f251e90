// Package traffic defines the classes and directions of traffic that rate limits
// distinguish.
package traffic

// Class is the priority class of a request within a limit. Short requests are
// granted before bulk ones.
type Class uint8

// Classes of requests.
const (
	Short Class = iota // look-ups, bookings and diary checks
	Bulk               // exports and downloads
)

func (c Class) String() string {
	if c == Bulk {
		return "bulk"
	}
	return "short"
}

// Direction is the direction of bytes on a link, as seen from the region of the
// host that counts them.
type Direction uint8

// Directions on a link.
const (
	Outbound Direction = iota // from the host's region to the other one
	Inbound                   // from the other region to the host's region
)

func (d Direction) String() string {
	if d == Inbound {
		return "inbound"
	}
	return "outbound"
}
