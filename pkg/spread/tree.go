package spread

import (
	"cmp"
	"slices"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// FanOut is the number of children of a node. With 4, offers reach 1,000 hosts
// in five hops.
const FanOut = 4

// Node is a host that is offered new versions.
type Node struct {
	Name string
	Peer string // IP:port
}

// Order returns the nodes that receive a bundle by fan-out: its entry hosts,
// sorted by availability zone and name. Control hosts get new versions from the
// agreement group instead.
func Order(b *bundle.Bundle) []Node {
	var entries []bundle.Host
	for _, h := range b.Hosts {
		if h.Role == bundle.RoleEntry {
			entries = append(entries, h)
		}
	}
	slices.SortFunc(entries, func(x, y bundle.Host) int {
		return cmp.Or(cmp.Compare(x.AvailabilityZone, y.AvailabilityZone), cmp.Compare(x.Name, y.Name))
	})
	nodes := make([]Node, len(entries))
	for i, h := range entries {
		nodes[i] = Node{Name: h.Name, Peer: h.Peer}
	}
	return nodes
}

// Root is the tree position of the sender that starts a fan-out. The n receivers
// are at positions 1 to n.
const Root = 0

// Children returns the positions of the children of a position in a tree of n
// receivers.
func Children(position, n int) []int {
	var below []int
	for i := 1; i <= FanOut; i++ {
		if child := position*FanOut + i; child <= n {
			below = append(below, child)
		}
	}
	return below
}

// Position returns the tree position of a host, or -1 if it is not a receiver.
func Position(order []Node, name string) int {
	for i, node := range order {
		if node.Name == name {
			return i + 1
		}
	}
	return -1
}
