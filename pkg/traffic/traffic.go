// Package traffic names the classes and directions of traffic that limits tell apart.
package traffic

// Class orders requests within a limit: short requests go before bulk ones.
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

// Direction of bytes on a link, seen from the region of the host that counts them.
type Direction uint8

// Directions on a link.
const (
	Outbound Direction = iota // from the own region to the other one
	Inbound                   // from the other region to the own one
)

func (d Direction) String() string {
	if d == Inbound {
		return "inbound"
	}
	return "outbound"
}
