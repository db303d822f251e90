package standin

import (
	"sync"
	"time"
)

// Stats are the counts that a target keeps.
type Stats struct {
	Received      int            `json:"received"`       // requests read, shed ones included
	Outstanding   int            `json:"outstanding"`    // requests being worked on or waiting for a slot
	Highest       int            `json:"highest"`        // highest value of Outstanding ever seen
	AboveSlots    int            `json:"above_slots"`    // requests that came while all slots were taken
	Shed          int            `json:"shed"`           // requests refused with the shed response
	Completed     int            `json:"completed"`      // requests whose work ended
	Cancelled     int            `json:"cancelled"`      // requests given up before the work ended
	Runs          map[string]int `json:"runs"`           // work started, by idempotency key
	UnkeyedRuns   int            `json:"unkeyed_runs"`   // work started without a key
	LastReceived  time.Time      `json:"last_received"`  // when the last request was read
	Announcements int            `json:"announcements"`  // announcements accepted by an entry host
	AnnounceFails int            `json:"announce_fails"` // announcements that failed or were refused
}

// counts guards the Stats of a target.
type counts struct {
	mu    sync.Mutex
	stats Stats
}

func newCounts() *counts { return &counts{stats: Stats{Runs: map[string]int{}}} }

func (c *counts) add(f func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

func (c *counts) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.stats
	out.Runs = make(map[string]int, len(c.stats.Runs))
	for k, v := range c.stats.Runs {
		out.Runs[k] = v
	}
	return out
}

// enter counts a request that starts to wait for a slot.
func (c *counts) enter(slots int) {
	c.add(func(s *Stats) {
		s.Outstanding++
		s.Highest = max(s.Highest, s.Outstanding)
		if s.Outstanding > slots {
			s.AboveSlots++
		}
	})
}

// leave counts the end of a request.
func (c *counts) leave(completed bool) {
	c.add(func(s *Stats) {
		s.Outstanding--
		if completed {
			s.Completed++
		} else {
			s.Cancelled++
		}
	})
}

// run counts the start of work and returns how often the key has run.
func (c *counts) run(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if key == "" {
		c.stats.UnkeyedRuns++
		return 0
	}
	c.stats.Runs[key]++
	return c.stats.Runs[key]
}
