package core

import (
	"slices"
	"strings"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

// maxEntryAddresses limits the addresses that EntriesFor returns.
const maxEntryAddresses = 64

// EntriesFor returns the addresses of ready entry hosts for callers in an
// availability zone: those in the same zone, if there are none those in the
// region, and if there are none there either, all.
func (n *Node) EntriesFor(region, zone string) []string {
	live := n.entries.live(n.now())
	live = slices.DeleteFunc(live, func(e fleet.Entry) bool { return !e.Ready })
	for _, fits := range []func(fleet.Entry) bool{
		func(e fleet.Entry) bool { return e.Zone == zone },
		func(e fleet.Entry) bool { return e.Region == region },
		func(fleet.Entry) bool { return true },
	} {
		var fronts []string
		for _, e := range live {
			if fits(e) {
				fronts = append(fronts, e.Front)
			}
		}
		if len(fronts) > 0 {
			slices.SortFunc(fronts, strings.Compare)
			return fronts[:min(len(fronts), maxEntryAddresses)]
		}
	}
	return nil
}
