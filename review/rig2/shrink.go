package main

import "time"

// Times of the case "shrink".
const (
	// outage is how long machines stay without power before the next disruption.
	outage = 14 * time.Second
	// recovery is RecoveryS, and contact is ContactS of the settings.
	recovery = 15 * time.Second
	contact  = 4 * time.Second
)

// runShrink lets a region and then as many machines as Tolerate allows lose power, has a
// desired state acknowledged, and lets two machines lose their disks. All machines come
// back, and the operator reads the desired state.
func runShrink(r *rig) (broken bool, err error) {
	r.allowed = 2
	for _, place := range [][2]string{
		{"colombo-a", "lk-west"}, {"kandy-a", "lk-central"}, {"galle-a", "lk-south"},
		{"colombo-b", "lk-west"}, {"kandy-b", "lk-central"}, {"galle-b", "lk-south"},
		{"colombo-c", "lk-west"}, {"kandy-c", "lk-central"}, {"galle-c", "lk-south"},
	} {
		r.add(place[0], place[1], true)
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	routes := []route{{"r-desk", "safe", "/desk/", "desk"}}
	if err := r.submit(1, desiredState(1, routes), r.nodes, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // all machines have joined
	south, central, west := r.of("lk-south"), r.of("lk-central"), r.of("lk-west")
	down := append(append([]*node{}, south...), central[:2]...)
	alive := append(append([]*node{}, west...), central[2])
	if err := r.disrupt(south, false); err != nil {
		return false, err
	}
	time.Sleep(outage)
	if err := r.disrupt(central[:2], false); err != nil {
		return false, err
	}
	time.Sleep(outage)
	if err := r.submit(2, desiredState(2, routes), alive, 10*time.Second); err != nil {
		return false, err
	}
	if err := r.disrupt(alive[:2], true); err != nil {
		return false, err
	}
	if r.trouble {
		for _, n := range append(down, alive[:2]...) {
			if err := r.start(n, false); err != nil {
				return false, err
			}
		}
		r.note("all machines are back")
	}
	return r.readBack(2), nil
}

// of returns the core machines of a region.
func (r *rig) of(region string) []*node {
	var list []*node
	for _, n := range r.cores() {
		if n.region == region {
			list = append(list, n)
		}
	}
	return list
}

// disrupt lets machines lose power, and their disks as well if wipe is set. Without
// trouble it does nothing.
func (r *rig) disrupt(list []*node, wipe bool) error {
	if !r.trouble {
		return nil
	}
	for _, n := range list {
		if err := r.powerOff(n, wipe); err != nil {
			return err
		}
	}
	return nil
}

// readBack has the operator read the desired state from all machines in turn, until
// RecoveryS and then ContactS have passed. It reports whether the rule was broken: an
// older version was read, or the newest one was never read after RecoveryS.
func (r *rig) readBack(newest int) (broken bool) {
	begun := time.Now()
	came, counts := false, map[[2]int]int{}
	for i := 0; time.Since(begun) < recovery+2*contact; i++ {
		n := r.cores()[i%len(r.cores())]
		status, version := read(n)
		counts[[2]int{status, version}]++
		if status == 200 && version < newest {
			r.note("operator: %s answered version %d, older than the acknowledged %d", n.name, version, newest)
			broken = true
		}
		if version == newest && time.Since(begun) > recovery {
			came = true
		}
		time.Sleep(50 * time.Millisecond)
	}
	for key, count := range counts {
		r.note("operator: %d reads were answered with status %d, version %d", count, key[0], key[1])
	}
	if !came {
		r.note("operator: version %d did not come in the %v after RecoveryS", newest, 2*contact)
	}
	return broken || !came
}
