package demo

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/internal/proc"
	"github.com/hornbeamstack/hornbeamstack/internal/standin"
	"github.com/hornbeamstack/hornbeamstack/pkg/bundle"
)

// targetsPerZone is the number of targets of each service in each zone.
const targetsPerZone = 2

// start starts every host of the bundle, and targetsPerZone targets of each service
// in each zone.
func (d *demo) start(context.Context) error {
	for _, h := range d.bundle.Hosts {
		program, args := "hornbeam-entry", []string{"--settings", d.settings[h.Name]}
		if h.Role == bundle.RoleControl {
			program, args = "hornbeam-control", append(args, "--founding")
		}
		p, err := proc.Start(d.folder, h.Name, filepath.Join(d.bin, program), args...)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, p)
	}
	for i, z := range d.bundle.Zones {
		for j, s := range d.bundle.Services {
			for k := range targetsPerZone {
				if err := d.startTarget(z, s, i, 10*j+k); err != nil {
					return err
				}
			}
		}
	}
	d.printf("   %d hosts, %d targets, each in its own process", len(d.hosts), len(d.targets))
	return nil
}

// startTarget starts a stand-in target of service s in zone z. The number sets its
// address within the zone and its name.
func (d *demo) startTarget(z bundle.AvailabilityZone, s bundle.Service, seed, number int) error {
	args := []string{"--address", standin.AddressIn(z, 10+number), "--service", s.Name, "--zone", z.Name,
		"--slots", strconv.Itoa(s.Slots), "--connections", strconv.Itoa(s.Connections),
		"--mean-work", "5ms", "--seed", strconv.Itoa(seed*100 + number + 1)}
	for _, h := range d.entryHosts(z.Name) {
		args = append(args, "--entry", h.HTTP)
	}
	name := fmt.Sprintf("target-%s-%s-%d", s.Name, z.Name, number)
	p, err := proc.Start(d.folder, name, filepath.Join(d.bin, "hornbeam-standin"), args...)
	if err != nil {
		return err
	}
	d.targets = append(d.targets, p)
	return nil
}

// entryHosts returns the entry hosts of a zone, or all entry hosts if zone is empty.
func (d *demo) entryHosts(zone string) []bundle.Host {
	var hosts []bundle.Host
	for _, h := range d.bundle.Hosts {
		if h.Role == bundle.RoleEntry && (zone == "" || h.AvailabilityZone == zone) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// stop shuts down all targets in parallel and then all hosts in parallel, each by
// SIGTERM and within stopLimit.
func (d *demo) stop(context.Context) error {
	for _, group := range [][]*proc.Process{d.targets, d.hosts} {
		errs := make([]error, len(group))
		var wg sync.WaitGroup
		for i, p := range group {
			wg.Go(func() { errs[i] = p.Stop(stopLimit) })
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	d.printf("   all processes ended with exit status 0")
	return nil
}
