package zone

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/slots"
)

// coordinatorHint returns the likely coordinator of the host's own zone, or "".
func (z *Zone) coordinatorHint() string {
	if z.held.Load() != nil {
		return z.cfg.Host
	}
	now := z.cfg.Now()
	z.leaseMu.Lock()
	promised, _, _ := strings.Cut(z.voter.Holder(now), "/")
	z.leaseMu.Unlock()
	if promised != "" && promised != z.cfg.Host {
		return promised
	}
	known := z.directory.coordinator(now, z.cfg.AvailabilityZone)
	if known == z.cfg.Host {
		return ""
	}
	return known
}

// beatStep sends a heartbeat to the zone's coordinator. If none is known, it asks
// a random host of the zone, which replies with the coordinator it knows.
func (z *Zone) beatStep(ctx context.Context) {
	host := z.coordinatorHint()
	if host == "" {
		host = z.randomHost(z.cfg.AvailabilityZone)
	}
	if host == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, beatInterval)
	defer cancel()
	reply, err := ask(ctx, z, host, "zone.beat", z.newBeat(), z.handleBeat)
	if err != nil {
		z.directory.forget(z.cfg.AvailabilityZone, host)
		return
	}
	z.applyBeatReply(host, reply)
}

// newBeat returns the heartbeat to send now.
func (z *Zone) newBeat() beatRequest {
	z.directory.mu.Lock()
	defer z.directory.mu.Unlock()
	return beatRequest{
		Incarnation: z.cfg.Incarnation, InFlight: int(z.inFlight.Load()), Leaving: z.leaving.Load(),
		Term: z.directory.fromTerm, Version: z.directory.fromSeen, HostsSum: z.directory.hostsSum,
	}
}

// applyBeatReply records what the reply to a heartbeat says about the coordinator,
// the hosts of the zone and the other zones.
func (z *Zone) applyBeatReply(host string, r beatReply) {
	now := z.cfg.Now()
	if r.Term == 0 {
		z.directory.forget(z.cfg.AvailabilityZone, host)
		if r.Coordinator != "" && r.Coordinator != host {
			z.directory.learn(now, z.cfg.AvailabilityZone, r.Coordinator, 0)
		}
		return
	}
	z.directory.learn(now, z.cfg.AvailabilityZone, host, r.Term)
	if host != z.cfg.Host {
		for _, s := range r.Summaries {
			z.directory.store(now, s)
		}
	}
	z.directory.mu.Lock()
	defer z.directory.mu.Unlock()
	z.directory.fromTerm, z.directory.fromSeen = r.Term, r.Version
	z.directory.hostsHeard = now
	if len(r.Hosts) > 0 {
		z.directory.hosts, z.directory.hostsSum = r.Hosts, checksum(r.Hosts)
	}
}

// handleBeat records a host's heartbeat. The reply carries only what the host does
// not have yet.
func (z *Zone) handleBeat(_ context.Context, from string, r beatRequest) (beatReply, error) {
	c, _ := z.lease()
	if c == nil {
		return beatReply{Coordinator: z.coordinatorHint()}, nil
	}
	now := z.cfg.Now()
	c.mu.Lock()
	c.hosts[from] = hostBeat{inFlight: r.InFlight, leaving: r.Leaving, heard: now}
	c.noteIncarnation(now, slots.Holder{Host: from, Incarnation: r.Incarnation})
	c.mu.Unlock()
	since := r.Version
	if r.Term != c.term {
		since = 0
	}
	reply := beatReply{Coordinator: z.cfg.Host, Term: c.term}
	if hosts := z.hostStates(c, now); checksum(hosts) != r.HostsSum {
		reply.Hosts = hosts
	}
	reply.Summaries, reply.Version = z.directory.summariesAfter(now, since, z.cfg.AvailabilityZone)
	return reply, nil
}

// hostStates returns the states of the zone's entry hosts as the coordinator
// knows them.
func (z *Zone) hostStates(c *coordinator, now time.Time) []hostState {
	l := z.layout()
	c.mu.Lock()
	defer c.mu.Unlock()
	states := make([]hostState, 0, len(l.hosts[z.cfg.AvailabilityZone]))
	for _, name := range l.hosts[z.cfg.AvailabilityZone] {
		beat, ok := c.hosts[name]
		if !ok {
			beat.heard = c.since
		}
		state := hostState{
			Name: name, Leaving: beat.leaving || l.drained[name],
			Silent: now.Sub(beat.heard) >= silentAfter,
		}
		if !state.Leaving && !state.Silent {
			state.Spare = spare(beat.inFlight)
		}
		states = append(states, state)
	}
	return states
}

// spare returns the weight of a host in look-ups: its spare capacity in requests,
// rounded down so that host states rarely change, and at least 1.
func spare(inFlight int) int {
	return max((nominalInFlight-inFlight)/spareStep*spareStep, 1)
}

// checksum identifies a list of host states, so that heartbeat replies can leave
// out a list that has not changed.
func checksum(hosts []hostState) uint32 {
	h := fnv.New32a()
	for _, s := range hosts {
		fmt.Fprintln(h, s.Name, s.Spare, s.Leaving, s.Silent)
	}
	return h.Sum32()
}

// randomHost returns a random entry host of a zone, but never this host. It
// returns "" if there is none.
func (z *Zone) randomHost(zone string) string {
	hosts := z.layout().hosts[zone]
	for _, i := range rand.Perm(len(hosts)) {
		if hosts[i] != z.cfg.Host {
			return hosts[i]
		}
	}
	return ""
}
