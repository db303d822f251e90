package zone

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// BenchmarkMessageBytes reports the size of message bodies. The envelope of
// internal/peer adds the method name, the sender and an identifier.
func BenchmarkMessageBytes(b *testing.B) {
	const incarnation = "6f1c2a7de0934b5e8a11c0ffee5d2b90"
	services := []serviceSummary{
		{Name: "limits-svc", Targets: 12, Slots: 36, Free: 9, Outstanding: 27, Queued: 2},
		{Name: "statements-svc", Targets: 6, Slots: 18, Free: 4, Outstanding: 14},
	}
	one := summary{Zone: "kandy-a", Coordinator: "kandy-a-entry-1", Term: 1_800_000_000_000, AgeMs: 420, Spare: 131, Services: services}
	reply := func(hosts, zones int) beatReply {
		r := beatReply{Coordinator: "kandy-a-entry-1", Term: 1_800_000_000_000, Version: 123456}
		for i := range hosts {
			r.Hosts = append(r.Hosts, hostState{Name: fmt.Sprintf("kandy-a-entry-%d", i), Spare: 131})
		}
		for range zones {
			r.Summaries = append(r.Summaries, one)
		}
		return r
	}
	for name, message := range map[string]any{
		"beat":                            beatRequest{Incarnation: incarnation, InFlight: 125, Term: 1_800_000_000_000, Version: 123456},
		"beat-reply/hosts=4/zones=0":      reply(4, 0),
		"beat-reply/hosts=4/zones=5":      reply(4, 5),
		"beat-reply/hosts=40/zones=24":    reply(40, 24),
		"summary":                         summaryRequest{Summary: &one},
		"acquire":                         acquireRequest{Incarnation: incarnation, Number: 123456, Service: "limits-svc", RemainingMs: 1500, MaxWaitMs: 1500},
		"acquire-reply":                   acquireReply{Status: statusGranted, Target: "10.11.12.13:8080", Term: 1_800_000_000_000, ValidMs: 1500},
		"release":                         releaseRequest{Incarnation: incarnation, Number: 123456},
		"renew/streams=10":                renewRequest{Incarnation: incarnation, Numbers: []uint64{123456, 123457, 123458, 123459, 123460, 123461, 123462, 123463, 123464, 123465}},
		"announce (entry to coordinator)": announceRequest{Service: "limits-svc", Address: "10.11.12.13:8080", Incarnation: 1_800_000_000_000, Sequence: 9999, Slots: 3, Connections: 800, Load: 0.51},
		"vote":                            voteRequest{Candidate: "kandy-a-entry-1/" + incarnation, Term: 1_800_000_000_000, Round: 9999},
		"vote-reply":                      voteReply{Granted: true, Term: 1_800_000_000_000},
	} {
		b.Run(name, func(b *testing.B) {
			var size int
			for b.Loop() {
				body, err := cbor.Marshal(message)
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkAcquireOverLoopback acquires and releases permits over loopback, in
// parallel, from a host that is not the coordinator.
func BenchmarkAcquireOverLoopback(b *testing.B) {
	c := newCluster(b, 2, "a")
	coordinator := c.coordinator("a")
	for i := range 24 {
		c.announce(coordinator, fmt.Sprintf("10.1.0.%d:80", i), 3)
	}
	host := c.hosts["a0"]
	if host == coordinator {
		host = c.hosts["a1"]
	}
	c.eventually("the host knows its coordinator", func() bool { return host.View().Coordinator == coordinator.name })
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p, err := c.acquire(host, longTimeout, false)
			if err != nil {
				b.Error(err)
				return
			}
			p.Release(slots.OutcomeDone)
		}
	})
}

// BenchmarkIdleTraffic reports the bytes that each idle host sends and receives
// per second for heartbeats, votes and summaries, in three zones of four hosts.
func BenchmarkIdleTraffic(b *testing.B) {
	c := newCluster(b, 4, "a", "b", "c")
	for _, az := range []string{"a", "b", "c"} {
		c.coordinator(az)
	}
	const seconds = 5
	total := func() (n int64) {
		for _, h := range c.hosts {
			n += h.client.Traffic().Total()
		}
		return n
	}
	for b.Loop() {
		before := total()
		time.Sleep(seconds * time.Second)
		b.ReportMetric(float64(total()-before)/seconds/float64(len(c.hosts)), "bytes/host/s")
	}
}
