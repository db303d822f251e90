package link

import "time"

// usageSlots is the number of slots, one Window long each, over which usage is
// averaged: 1 s in total.
const usageSlots = 10

// usage counts the bytes granted in a ring of slots.
type usage struct {
	slots [usageSlots]float64 // bytes
	slot  int64               // number of the latest slot since the epoch
}

func (u *usage) add(now time.Time, bytes float64) {
	u.advance(now)
	u.slots[u.slot%usageSlots] += bytes
}

// rate returns the average usage in bytes per second.
func (u *usage) rate(now time.Time) float64 {
	u.advance(now)
	sum := 0.0
	for _, b := range u.slots {
		sum += b
	}
	return sum / (usageSlots * Window.Seconds())
}

// advance moves to the slot of the given time and clears the slots in between.
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
