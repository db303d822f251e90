package steer

import (
	"net/netip"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// minSpareCapacity is the mean spare capacity of a zone below which its callers no
// longer all start there but are spread over it and the next zones, in proportion to
// spare capacity.
const minSpareCapacity = 0.1

// minWeight keeps a full host selectable, so that its zone never counts as empty.
const minWeight = 0.01

// Picker chooses entry hosts for callers. It is built for one state of the bundle and the
// hosts, and is immutable.
type Picker struct {
	blocks     *Blocks
	hosts      []bundle.Host
	zones      []zoneHosts // by zone index
	zoneOrders [][]uint16  // by zone index: the zones to try that have usable hosts, as in ZoneOrder
	fallback   uint16      // index of the home zone of callers in no block
}

// zoneHosts holds the usable entry hosts of a zone.
type zoneHosts struct {
	hosts             []uint16  // indexes into Picker.hosts
	cumulativeWeights []float32 // running sum of the weights of hosts
	spareCapacity     float32   // mean over hosts, 0 (full) to 1 (idle)
}

// NewPicker builds a picker. Callers in no block are treated as callers of fallbackZone.
// Hosts without a state count as silent.
func NewPicker(b *bundle.Bundle, blocks *Blocks, states map[string]HostState, fallbackZone string) *Picker {
	p := &Picker{blocks: blocks, zones: make([]zoneHosts, len(blocks.names)), zoneOrders: make([][]uint16, len(blocks.names))}
	p.fallback = blocks.index[fallbackZone]
	for _, h := range b.Hosts {
		if h.Role != bundle.RoleEntry {
			continue
		}
		p.hosts = append(p.hosts, h)
		state, known := states[h.Name]
		if zone, ok := blocks.index[h.AvailabilityZone]; ok && known && !state.Leaving && !state.Silent && !hostDrained(b, h.Name) {
			p.zones[zone].add(uint16(len(p.hosts)-1), float32(state.SpareCapacity))
		}
	}
	for _, z := range b.Zones {
		zone := blocks.index[z.Name]
		for _, name := range ZoneOrder(b, z.Name) {
			if i := blocks.index[name]; len(p.zones[i].hosts) > 0 {
				p.zoneOrders[zone] = append(p.zoneOrders[zone], i)
			}
		}
	}
	return p
}

// Host returns the host with an index from an Answer.
func (p *Picker) Host(i int) *bundle.Host { return &p.hosts[i] }

// Pick returns up to four entry hosts, in at least two zones if two have usable hosts. rnd
// must be uniformly distributed; equal values give equal answers.
func (p *Picker) Pick(caller netip.Addr, rnd uint64) Answer {
	home, ok := p.blocks.Home(caller)
	if !ok || int(home) >= len(p.zoneOrders) {
		home = p.fallback
	}
	var a Answer
	order := p.zoneOrders[home]
	if len(order) == 0 {
		return a
	}
	first := p.firstZone(order, &rnd)
	second := secondZone(order, first)
	p.addFromZone(order[first], &a, &rnd)
	p.addFromZone(order[second], &a, &rnd)
	p.addFromZone(order[first], &a, &rnd)
	for i := 0; i < len(order) && a.n < maxHosts; i++ {
		p.addFromZone(order[i], &a, &rnd)
	}
	return a
}

// firstZone returns the position in order of the zone that a caller is sent to first. That
// is the first one unless it has too little spare capacity. Then it is drawn, in
// proportion to spare capacity, from all zones up to the first one with enough.
func (p *Picker) firstZone(order []uint16, rnd *uint64) int {
	if p.zones[order[0]].spareCapacity >= minSpareCapacity {
		return 0
	}
	var sum float32
	last := 0
	for i, z := range order {
		sum += max(p.zones[z].spareCapacity, minWeight)
		last = i
		if p.zones[z].spareCapacity >= minSpareCapacity {
			break
		}
	}
	draw := nextFloat(rnd) * sum
	for i := 0; i < last; i++ {
		draw -= max(p.zones[order[i]].spareCapacity, minWeight)
		if draw < 0 {
			return i
		}
	}
	return last
}

// addFromZone adds a host of the zone to the answer, drawn by weight. If that host is in
// the answer already, the next one of the zone that is not is added.
func (p *Picker) addFromZone(zone uint16, a *Answer, rnd *uint64) {
	z := &p.zones[zone]
	if a.n == maxHosts || len(z.hosts) == 0 {
		return
	}
	draw := nextFloat(rnd) * z.cumulativeWeights[len(z.cumulativeWeights)-1]
	start := 0
	for start < len(z.cumulativeWeights)-1 && draw >= z.cumulativeWeights[start] {
		start++
	}
	for i := range z.hosts {
		if h := z.hosts[(start+i)%len(z.hosts)]; !a.has(h) {
			a.add(h)
			return
		}
	}
}

func (z *zoneHosts) add(host uint16, spareCapacity float32) {
	var sum float32
	if len(z.cumulativeWeights) > 0 {
		sum = z.cumulativeWeights[len(z.cumulativeWeights)-1]
	}
	z.spareCapacity = (z.spareCapacity*float32(len(z.hosts)) + spareCapacity) / float32(len(z.hosts)+1)
	z.hosts = append(z.hosts, host)
	z.cumulativeWeights = append(z.cumulativeWeights, sum+max(spareCapacity, minWeight))
}

// secondZone returns the position in order of the best zone other than i, or i if there
// is no other.
func secondZone(order []uint16, i int) int {
	if i > 0 {
		return 0
	}
	return min(1, len(order)-1)
}

// nextFloat advances a SplitMix64 state and returns a value in [0, 1).
func nextFloat(state *uint64) float32 {
	*state += 0x9e3779b97f4a7c15
	z := *state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float32((z^z>>31)>>40) / (1 << 24)
}
