package steer

// maxHosts is the largest number of entry hosts in one answer.
const maxHosts = 4

// Answer is the answer to a look-up: entry hosts by their index in the Picker, best
// first.
type Answer struct {
	hosts [maxHosts]uint16
	n     uint8
}

// Len returns the number of hosts.
func (a *Answer) Len() int { return int(a.n) }

// At returns the Picker index of the i-th host.
func (a *Answer) At(i int) int { return int(a.hosts[i]) }

func (a *Answer) has(host uint16) bool {
	for _, h := range a.hosts[:a.n] {
		if h == host {
			return true
		}
	}
	return false
}

func (a *Answer) add(host uint16) {
	a.hosts[a.n] = host
	a.n++
}
