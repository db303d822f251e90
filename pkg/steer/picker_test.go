package steer

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

func testBundle(blocks int) *bundle.Bundle {
	b := &bundle.Bundle{
		Regions: []bundle.Region{{Name: "west", ZoneLatencyMs: 0.5}, {Name: "east", ZoneLatencyMs: 0.5}, {Name: "south", ZoneLatencyMs: 0.5}},
		Links: []bundle.Link{
			{Regions: [2]string{"west", "east"}, LatencyMs: 20},
			{Regions: [2]string{"south", "west"}, LatencyMs: 10},
			{Regions: [2]string{"south", "east"}, LatencyMs: 15},
		},
	}
	for _, z := range []string{"west-a", "west-b", "east-a", "east-b", "south-a", "south-b"} {
		b.Zones = append(b.Zones, bundle.AvailabilityZone{Name: z, Region: z[:len(z)-2]})
		for i := range 4 {
			b.Hosts = append(b.Hosts, bundle.Host{Name: fmt.Sprintf("%s-%d", z, i), AvailabilityZone: z, Role: bundle.RoleEntry})
		}
	}
	for i := range blocks {
		b.Blocks = append(b.Blocks, bundle.CallerBlock{
			Prefix:           fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&0xff, i&0xff),
			AvailabilityZone: b.Zones[i%len(b.Zones)].Name,
		})
	}
	return b
}

func allUp(b *bundle.Bundle, spareCapacity float64) map[string]HostState {
	states := map[string]HostState{}
	for _, h := range b.Hosts {
		states[h.Name] = HostState{SpareCapacity: spareCapacity}
	}
	return states
}

func mustBlocks(t testing.TB, b *bundle.Bundle) *Blocks {
	t.Helper()
	blocks, err := NewBlocks(b.Zones, b.Blocks)
	if err != nil {
		t.Fatal(err)
	}
	return blocks
}

func TestPick(t *testing.T) {
	west := netip.MustParseAddr("10.0.0.7") // block 0: west-a
	zonesOf := func(p *Picker, a Answer) []string {
		var zones []string
		for i := range a.Len() {
			zones = append(zones, p.Host(a.At(i)).AvailabilityZone)
		}
		return zones
	}
	type change func(*bundle.Bundle, map[string]HostState)
	cases := []struct {
		name       string
		change     change
		firstIn    []string // zones that the first host may be in
		mustAvoid  string   // host or zone that no answer may contain
		leastZones int
	}{
		{"all hosts up: the home zone first, then a second zone", func(*bundle.Bundle, map[string]HostState) {}, []string{"west-a"}, "", 2},
		{"leaving host is not in the answer", func(_ *bundle.Bundle, s map[string]HostState) {
			s["west-a-1"] = HostState{Leaving: true, SpareCapacity: 1}
		}, []string{"west-a"}, "west-a-1", 2},
		{"silent host is not in the answer", func(_ *bundle.Bundle, s map[string]HostState) {
			s["west-a-1"] = HostState{Silent: true, SpareCapacity: 1}
		}, []string{"west-a"}, "west-a-1", 2},
		{"host without a state is not in the answer", func(_ *bundle.Bundle, s map[string]HostState) { delete(s, "west-a-1") }, []string{"west-a"}, "west-a-1", 2},
		{"drained host is not in the answer", func(b *bundle.Bundle, _ map[string]HostState) {
			b.Drains = []bundle.Drain{{Kind: bundle.DrainHost, Name: "west-a-1"}}
		}, []string{"west-a"}, "west-a-1", 2},
		{"drained zone: the other zone of the region", func(b *bundle.Bundle, _ map[string]HostState) {
			b.Drains = []bundle.Drain{{Kind: bundle.DrainZone, Name: "west-a"}}
		}, []string{"west-b"}, "", 2},
		{"drained region: the nearest other region", func(b *bundle.Bundle, _ map[string]HostState) {
			b.Drains = []bundle.Drain{{Kind: bundle.DrainRegion, Name: "west"}}
		}, []string{"south-a", "south-b"}, "", 2},
		{"zone lost: the other zone of the region", func(_ *bundle.Bundle, s map[string]HostState) {
			for i := range 4 {
				delete(s, fmt.Sprintf("west-a-%d", i))
			}
		}, []string{"west-b"}, "west-a", 2},
		{"only one zone left", func(_ *bundle.Bundle, s map[string]HostState) {
			for name := range s {
				if name[:6] != "east-b" {
					delete(s, name)
				}
			}
		}, []string{"east-b"}, "", 1},
		{"home zone full: its callers are spread over the region by spare capacity", func(_ *bundle.Bundle, s map[string]HostState) {
			for i := range 4 {
				s[fmt.Sprintf("west-a-%d", i)] = HostState{SpareCapacity: 0}
			}
		}, []string{"west-a", "west-b"}, "", 2},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			b := testBundle(600)
			states := allUp(b, 0.5)
			c.change(b, states)
			p := NewPicker(b, mustBlocks(t, b), states, "west-a")
			for seed := range uint64(200) {
				a := p.Pick(west, seed)
				zones := zonesOf(p, a)
				So(zones[0], ShouldBeIn, c.firstIn)
				distinct := map[string]bool{}
				for i, z := range zones {
					distinct[z] = true
					So(p.Host(a.At(i)).Name, ShouldNotEqual, c.mustAvoid)
					So(z, ShouldNotEqual, c.mustAvoid)
				}
				So(len(distinct), ShouldBeGreaterThanOrEqualTo, c.leastZones)
			}
		})
	}
	Convey("no usable host gives an empty answer", t, func() {
		b := testBundle(6)
		p := NewPicker(b, mustBlocks(t, b), nil, "west-a")
		a := p.Pick(west, 1)
		So(a.Len(), ShouldEqual, 0)
	})
	Convey("a host with three times the spare capacity gets about three times the callers", t, func() {
		b := testBundle(6)
		states := allUp(b, 0.2)
		states["west-a-0"] = HostState{SpareCapacity: 0.6}
		p := NewPicker(b, mustBlocks(t, b), states, "west-a")
		count := 0
		for seed := range uint64(6000) {
			a := p.Pick(west, seed*7919)
			if p.Host(a.At(0)).Name == "west-a-0" {
				count++
			}
		}
		So(count, ShouldBeBetween, 2700, 3300)
	})
	Convey("a caller in no block is treated as a caller of the fallback zone", t, func() {
		b := testBundle(6)
		p := NewPicker(b, mustBlocks(t, b), allUp(b, 1), "east-b")
		a := p.Pick(netip.MustParseAddr("2001:db8::1"), 3)
		So(p.Host(a.At(0)).AvailabilityZone, ShouldEqual, "east-b")
	})
}

func TestBlocksWith(t *testing.T) {
	Convey("With leaves the old table unchanged", t, func() {
		b := testBundle(600)
		old := mustBlocks(t, b)
		zones := append(b.Zones, bundle.AvailabilityZone{Name: "north-a", Region: "north"})
		next, err := old.With(zones, []bundle.CallerBlock{{Prefix: "10.0.0.0/24", AvailabilityZone: "north-a"}}, []bundle.CallerBlock{{Prefix: "10.0.1.0/24"}})
		So(err, ShouldBeNil)
		home := func(b *Blocks, a string) string {
			z, ok := b.Home(netip.MustParseAddr(a))
			if !ok {
				return ""
			}
			return b.ZoneName(z)
		}
		So(home(next, "10.0.0.1"), ShouldEqual, "north-a")
		So(home(next, "10.0.1.1"), ShouldEqual, "")
		So(home(old, "10.0.0.1"), ShouldEqual, "west-a")
		So(home(old, "10.0.1.1"), ShouldEqual, "west-b")
		So(next.Len(), ShouldEqual, 599)
	})
}

func TestPickAllocates(t *testing.T) {
	b := testBundle(1000)
	p := NewPicker(b, mustBlocks(t, b), allUp(b, 0.5), "west-a")
	caller := netip.MustParseAddr("10.0.3.7")
	if n := testing.AllocsPerRun(1000, func() { _ = p.Pick(caller, 42) }); n != 0 {
		t.Fatalf("Pick makes %v allocations per call, want 0", n)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, blocks := range []int{10_000, 100_000, 640_000} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			bd := testBundle(blocks)
			p := NewPicker(bd, mustBlocks(b, bd), allUp(bd, 0.5), "west-a")
			callers := make([]netip.Addr, 4096)
			for i := range callers {
				n := i * 7919 % blocks
				callers[i] = netip.AddrFrom4([4]byte{byte(10 + n>>16), byte(n >> 8), byte(n), 9})
			}
			b.ReportAllocs()
			var i uint64
			for b.Loop() {
				_ = p.Pick(callers[i&4095], i)
				i++
			}
		})
	}
}
