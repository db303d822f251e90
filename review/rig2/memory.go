package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of the case "memory".
const (
	// memoryLimit is MemoryMb of the core machines in the settings.
	memoryLimit = 280
	// largeRoutes is the number of routes with the disruption, smallRoutes without it.
	largeRoutes, smallRoutes = 4 * 1400, 20
	// A storm is a series of changes, each of them changeGap after the one before or later.
	stormLength, changeGap, stormPause = 1500 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond
	// changes is the largest number of changes, and memoryTime the longest time of the case.
	changes    = 900
	memoryTime = 95 * time.Second
	// endsOfItself is the number of ends of one machine's process that counts.
	endsOfItself  = 3
	checkInterval = 100 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
)

// platform plays the platform: it kills a process that uses more memory than its limit,
// and starts it again after a short delay.
type platform struct {
	rig  *rig
	stop chan struct{}

	mu   sync.Mutex
	ends map[*node]int
	peak map[*node]int // MB
}

// watch checks the memory of all core machines until stop is closed.
func (p *platform) watch() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		for _, n := range p.rig.cores() {
			p.check(n)
		}
	}
}

// check kills and restarts the process of a machine if it is over its limit.
func (p *platform) check(n *node) {
	used := residentMB(n)
	p.mu.Lock()
	p.peak[n] = max(p.peak[n], used)
	p.mu.Unlock()
	if used <= memoryLimit {
		return
	}
	p.rig.note("platform: %s uses %d MB, over its limit of %d, and is killed", n.name, used, memoryLimit)
	n.process.Kill()
	p.mu.Lock()
	p.ends[n]++
	p.mu.Unlock()
	time.Sleep(restartDelay)
	if err := p.rig.start(n, false); err != nil {
		p.rig.note("platform: %s cannot be started again: %v", n.name, err)
	}
}

// machinesThatEnded returns the number of machines whose process has ended by itself
// endsOfItself times.
func (p *platform) machinesThatEnded() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := 0
	for _, ends := range p.ends {
		if ends >= endsOfItself {
			machines++
		}
	}
	return machines
}

// residentMB returns the resident memory of a machine's process in MB, without the pages of
// its program file. It returns 0 if the process is not running.
func residentMB(n *node) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				return 0
			}
			return kb >> 10
		}
	}
	return 0
}

// pid returns the process id of a machine's process, 0 if there is none. It looks for the
// settings file of this rig in the environments of the processes.
func (n *node) pid() int {
	if n.cachedPID > 0 && n.owns(n.cachedPID) {
		return n.cachedPID
	}
	entries, err := os.ReadDir("/proc")
	if err != nil {
		return 0
	}
	n.cachedPID = 0
	for _, e := range entries {
		if pid, err := strconv.Atoi(e.Name()); err == nil && n.owns(pid) {
			n.cachedPID = pid
		}
	}
	return n.cachedPID
}

// owns reports whether a process was started with the settings file of this machine.
func (n *node) owns(pid int) bool {
	environment, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	return err == nil && strings.Contains(string(environment), "HORNBEAMSTACK_SETTINGS="+n.settingsFile+"\x00")
}

// manyRoutes returns routes for a desired state.
func manyRoutes(n int) []route {
	var list []route
	for i := range n {
		list = append(list, route{fmt.Sprintf("r-%07x", i*7919), "safe", fmt.Sprintf("/p%08x/", i*104729), "bookings"})
	}
	return list
}

// runMemory sends changes of a desired state in storms until the processes of half of the
// core have ended by themselves three times. With trouble the desired state has many
// routes.
func runMemory(r *rig) (broken bool, err error) {
	for i, region := range []string{"munster", "leinster", "connacht"} {
		r.add(fmt.Sprintf("zone-%d", i+1), region, true)
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	p := &platform{rig: r, stop: make(chan struct{}), ends: map[*node]int{}, peak: map[*node]int{}}
	routes := manyRoutes(smallRoutes)
	if r.trouble {
		routes = manyRoutes(largeRoutes)
	}
	var watching sync.WaitGroup
	watching.Go(p.watch)
	version, err := p.storms(routes)
	close(p.stop)
	watching.Wait()
	if err != nil {
		return false, err
	}
	for _, n := range r.cores() {
		r.note("%s: ended %d times over its limit, used %d MB at most", n.name, p.ends[n], p.peak[n])
	}
	r.note("%d changes of a desired state of %d routes and %d bytes were acknowledged", version, len(routes), len(desiredState(version, routes)))
	return 2*p.machinesThatEnded() >= len(r.cores()), nil
}

// storms sends changes until enough processes have ended, or the limits are reached. It
// returns the version that was acknowledged last.
func (p *platform) storms(routes []route) (version int, err error) {
	r, begun := p.rig, time.Now()
	for version < changes && time.Since(begun) < memoryTime && 2*p.machinesThatEnded() < len(r.cores()) {
		storm := time.Now()
		for time.Since(storm) < stormLength && version < changes {
			sent := time.Now()
			version++
			routes[version%len(routes)].kind = []string{"safe", "unsafe"}[version/len(routes)%2]
			if err := r.submit(version, desiredState(version, routes), r.cores(), 15*time.Second); err != nil {
				return version, err
			}
			time.Sleep(max(0, changeGap-time.Since(sent)))
		}
		time.Sleep(stormPause)
	}
	return version, nil
}
