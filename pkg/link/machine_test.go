package link

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var pauses = []time.Duration{10 * time.Millisecond, RenewInterval, time.Second, LeaseDuration + 5*time.Millisecond, LeaderWait}

// TestCapHolds guards against more bytes than the cap in any 100 ms window and
// against shares that add up to more than the cap. Hosts freeze and go idle,
// clocks drift, messages are lost or late, and leaders change or freeze.
func TestCapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.IntRange(2, 16).Draw(t, "hosts"))
		for _, h := range sim.hosts {
			h.drift = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "drift")
		}
		host := func() *simHost { return rapid.SampledFrom(sim.hosts).Draw(t, "host") }
		demand := func() float64 {
			return rapid.SampledFrom([]float64{0, simCap / 20, simCap, simCap}).Draw(t, "demand")
		}
		// round renews the lease of every host that is not frozen; one request
		// in ten is lost.
		round := func(*rapid.T) {
			sim.extend()
			for _, h := range sim.hosts {
				if h.frozen || rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
					continue
				}
				sim.ask(h, sim.leader, demand())
				sim.handle(h.pending)
				sim.reply(h)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"flow":  func(t *rapid.T) { sim.flow(60, 2*time.Millisecond) },
			"flow2": func(t *rapid.T) { sim.flow(rapid.IntRange(1, 300).Draw(t, "ticks"), time.Millisecond) },
			"round": round, "round2": round,
			// The reply to one host is late or lost; the other hosts renew before it arrives.
			"late": func(t *rapid.T) {
				h := host()
				if h.frozen {
					return
				}
				sim.extend()
				sim.ask(h, sim.leader, simCap)
				sim.handle(h.pending)
				if rapid.Bool().Draw(t, "arrives") {
					sim.reply(h)
				}
				h.frozen = true
				if rapid.Bool().Draw(t, "elect") {
					sim.elect()
				}
				sim.advance(rapid.SampledFrom(pauses).Draw(t, "time"))
				round(t)
				h.frozen = false
				sim.reply(h)
				sim.flow(100, 2*time.Millisecond)
			},
			// A host that does not know the new leader sends its request to the old one.
			"askRetired": func(t *rapid.T) {
				if h := host(); !h.frozen && len(sim.retired) > 0 {
					sim.ask(h, sim.retired[len(sim.retired)-1], simCap)
					sim.handle(h.pending)
					sim.reply(h)
				}
			},
			"ask": func(t *rapid.T) {
				if h := host(); !h.frozen {
					sim.ask(h, sim.leader, demand())
				}
			},
			"handle": func(t *rapid.T) {
				if h := host(); h.pending != nil {
					sim.handle(h.pending)
				}
			},
			"reply":  func(t *rapid.T) { sim.reply(host()) },
			"freeze": func(t *rapid.T) { host().frozen = true },
			"thaw":   func(t *rapid.T) { host().frozen = false },
			"idle":   func(t *rapid.T) { h := host(); h.idle = !h.idle },
			"elect":  func(t *rapid.T) { sim.elect() },
			"wait": func(t *rapid.T) {
				sim.advance(rapid.SampledFrom(pauses).Draw(t, "time"))
				sim.extend()
			},
			"": func(t *rapid.T) {
				if sim.violation != "" {
					t.Fatal(sim.violation)
				}
			},
		})
	})
}
