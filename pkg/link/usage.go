package link

import "time"

// usageSlots of one Window each make up the time over which usage is averaged.
const usageSlots = 10

// usage counts bytes of the last second.
type usage struct {
	slots [usageSlots]float64
	slot  int64 // number of the latest slot since the epoch
}

func (u *usage) add(now time.Time, bytes float64) {
	u.advance(now)
	u.slots[u.slot%usageSlots] += bytes
}

// rate returns bytes per second.
func (u *usage) rate(now time.Time) float64 {
	u.advance(now)
	sum := 0.0
	for _, b := range u.slots {
		sum += b
	}
	return sum / (usageSlots * Window.Seconds())
}

func (u *usage) advance(now time.Time) {
	n := now.UnixNano() / int64(Window)
	if n-u.slot >= usageSlots {
		u.slots, u.slot = [usageSlots]float64{}, n
	}
	for u.slot < n {
		u.slot++
		u.slots[u.slot%usageSlots] = 0
	}
}
