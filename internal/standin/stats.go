package standin

import (
	"sync"
	"time"
)

// Stats holds a target's counters since its start. It is the body of GET /standin/stats.
type Stats struct {
	Received      int            `json:"received"`       // requests read, shed ones included
	Outstanding   int            `json:"outstanding"`    // requests being worked on or waiting for a slot
	Highest       int            `json:"highest"`        // highest value of Outstanding so far
	AboveSlots    int            `json:"above_slots"`    // requests that arrived while all slots were taken
	Shed          int            `json:"shed"`           // requests refused with the shed response
	Completed     int            `json:"completed"`      // requests whose work ended
	Cancelled     int            `json:"cancelled"`      // requests cancelled or past their deadline before the response was sent
	Runs          map[string]int `json:"runs"`           // number of times work was started, by idempotency key
	UnkeyedRuns   int            `json:"unkeyed_runs"`   // number of times work was started without a key
	LastReceived  time.Time      `json:"last_received"`  // when the last request was read
	Announcements int            `json:"announcements"`  // announcements accepted by an entry host
	AnnounceFails int            `json:"announce_fails"` // announcements that failed or were refused
}

// counts holds the Stats of a target for concurrent use.
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

// snapshot returns a copy of the counters.
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

// enter counts a request that begins to wait for a slot.
func (c *counts) enter(slots int) {
	c.add(func(s *Stats) {
		s.Outstanding++
		s.Highest = max(s.Highest, s.Outstanding)
		if s.Outstanding > slots {
			s.AboveSlots++
		}
	})
}

// leave counts the end of a request counted by enter.
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

// run counts the start of work and returns how often work with the key has been
// started, 0 for an empty key.
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
