package link

import "time"

const (
	// LeaseDuration is the time for which a share is leased, from the moment its request was sent.
	LeaseDuration = 2 * time.Second
	// UsableLeaseDuration is the time for which the holder uses a lease. The
	// rest of LeaseDuration is a margin for clock drift.
	UsableLeaseDuration = LeaseDuration * 9 / 10
	// RenewInterval is the time between lease requests of a host.
	RenewInterval = 500 * time.Millisecond
	// LeaderWait is the time for which a new leader leases nothing, so that all
	// leases of the previous leader have expired. The 200 ms cover clock drift.
	LeaderWait = LeaseDuration + 200*time.Millisecond
	// Window is the length of every time window in which the cap must hold.
	Window = 100 * time.Millisecond
)

const (
	// floorFraction is the fraction of the cap that is split evenly among all
	// hosts as their floor, the share that needs no lease.
	floorFraction = 0.05
	// reserveFraction is the fraction of the cap kept for packet headers, which
	// add 5.5% to the payload at an MTU of 1,500 bytes, and for system messages.
	reserveFraction = 0.07
	// burstFraction is the fraction of a window's bytes that may pass at once.
	// The refill rate is lowered by it.
	burstFraction = 0.07
	// minBurst lets a chunk of 4 KiB pass whole even at a floor of 109 KB/s
	// (280 Mbit/s, 16 hosts), where burstFraction would allow 0.8 KB.
	minBurst = 4 << 10 // bytes
	// maxBurstFraction limits minBurst on very small shares, as a fraction of a
	// window's bytes.
	maxBurstFraction = 0.5
)

// Floor returns the share, in bytes per second, that each of the hosts may use
// without a lease.
func Floor(capBytesPerSecond float64, hosts int) float64 {
	return capBytesPerSecond * floorFraction / float64(max(hosts, 1))
}

// Pool returns the bytes per second of a cap that can be leased.
func Pool(capBytesPerSecond float64) float64 {
	return capBytesPerSecond * (1 - floorFraction - reserveFraction)
}
