package link

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var pauses = []time.Duration{10 * time.Millisecond, RenewInterval, time.Second, LeaseDuration + 5*time.Millisecond, LeaderWait}

// TestCapHolds guards against more bytes than the cap in any 100 ms window,
// and against shares above it, with hosts that freeze, start and stop, clocks
// that drift, lost and late messages, and leaders that change or freeze.
func TestCapHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 16).Draw(t, "hosts"))
		for _, h := range w.hosts {
			h.drift = rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "drift")
		}
		host := func() *simHost { return rapid.SampledFrom(w.hosts).Draw(t, "host") }
		demand := func() float64 {
			return rapid.SampledFrom([]float64{0, worldCap / 20, worldCap, worldCap}).Draw(t, "demand")
		}
		// round lets every host renew its lease, with some loss.
		round := func(*rapid.T) {
			w.extend()
			for _, h := range w.hosts {
				if h.frozen || rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
					continue
				}
				w.ask(h, w.leader, demand())
				w.handle(h.asking)
				w.reply(h)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"flow":  func(t *rapid.T) { w.flow(60, 2*time.Millisecond) },
			"flow2": func(t *rapid.T) { w.flow(rapid.IntRange(1, 300).Draw(t, "ticks"), time.Millisecond) },
			"round": round, "round2": round,
			// One host's renewal is late or lost, the others renew later.
			"late": func(t *rapid.T) {
				h := host()
				if h.frozen {
					return
				}
				w.extend()
				w.ask(h, w.leader, worldCap)
				w.handle(h.asking)
				if rapid.Bool().Draw(t, "arrives") {
					w.reply(h)
				}
				h.frozen = true
				if rapid.Bool().Draw(t, "elect") {
					w.elect()
				}
				w.advance(rapid.SampledFrom(pauses).Draw(t, "time"))
				round(t)
				h.frozen = false
				w.reply(h)
				w.flow(100, 2*time.Millisecond)
			},
			// A host that does not know the new leader asks the old one.
			"askRetired": func(t *rapid.T) {
				if h := host(); !h.frozen && len(w.retired) > 0 {
					w.ask(h, w.retired[len(w.retired)-1], worldCap)
					w.handle(h.asking)
					w.reply(h)
				}
			},
			"ask": func(t *rapid.T) {
				if h := host(); !h.frozen {
					w.ask(h, w.leader, demand())
				}
			},
			"handle": func(t *rapid.T) {
				if h := host(); h.asking != nil {
					w.handle(h.asking)
				}
			},
			"reply":  func(t *rapid.T) { w.reply(host()) },
			"freeze": func(t *rapid.T) { host().frozen = true },
			"thaw":   func(t *rapid.T) { host().frozen = false },
			"idle":   func(t *rapid.T) { h := host(); h.idle = !h.idle },
			"elect":  func(t *rapid.T) { w.elect() },
			"wait": func(t *rapid.T) {
				w.advance(rapid.SampledFrom(pauses).Draw(t, "time"))
				w.extend()
			},
			"": func(t *rapid.T) {
				if w.fault != "" {
					t.Fatal(w.fault)
				}
			},
		})
	})
}
