package zonelease

import "time"

// round is one request sent to all voters, and the replies received so far.
type round struct {
	number  uint64
	sent    time.Time
	granted map[string]bool
	refused map[string]bool
}

func newRound(number uint64, sent time.Time) *round {
	return &round{number: number, sent: sent, granted: map[string]bool{}, refused: map[string]bool{}}
}

// count returns how many hosts of the list are in the set.
func count(list []string, set map[string]bool) int {
	n := 0
	for _, host := range list {
		if set[host] {
			n++
		}
	}
	return n
}
