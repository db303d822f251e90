package link

import "time"

const (
	// LeaseDuration is how long a share is leased, from the moment its request was sent.
	LeaseDuration = 2 * time.Second
	// UsableLeaseDuration is the part of LeaseDuration that the holder uses; the rest covers clock drift.
	UsableLeaseDuration = LeaseDuration * 9 / 10
	// RenewInterval is the time between lease requests of a host.
	RenewInterval = 500 * time.Millisecond
	// LeaderWait is how long a new leader leases nothing, until all leases of
	// the previous one have expired; the margin covers clock drift.
	LeaderWait = LeaseDuration + 200*time.Millisecond
	// Window is the time over which the cap must hold.
	Window = 100 * time.Millisecond
)

const (
	// floorPart of the cap is split evenly among the hosts without a lease.
	floorPart = 0.05
	// reservePart of the cap is kept for headers, which add 5.5% to the payload at
	// an MTU of 1,500 bytes, and for system messages.
	reservePart = 0.07
	// burstPart of a window's bytes may pass at once; the rate is lowered by it.
	burstPart = 0.07
	// minBurst lets a piece of 4 KiB pass as a whole also at a floor share of
	// 219 KB/s (280 Mbit/s, 16 hosts), where burstPart would be 2.2 KB.
	minBurst = 4 << 10 // bytes
	// maxBurstPart bounds minBurst on very small shares.
	maxBurstPart = 0.5
)

// Floor returns the share that each host has without a lease, in bytes per second.
func Floor(capBytesPerSecond float64, hosts int) float64 {
	return capBytesPerSecond * floorPart / float64(max(hosts, 1))
}

// Pool returns the part of the cap that is leased, in bytes per second.
func Pool(capBytesPerSecond float64) float64 {
	return capBytesPerSecond * (1 - floorPart - reservePart)
}
