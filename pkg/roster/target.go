package roster

import "time"

// Life numbers the starts of a target: the Unix time of its start in milliseconds.
type Life int64

// Announcement is what a target says of itself.
type Announcement struct {
	Name     string        `cbor:"1,keyasint"`
	Life     Life          `cbor:"2,keyasint"`
	Sequence uint64        `cbor:"3,keyasint"`
	Service  string        `cbor:"4,keyasint"`
	Address  string        `cbor:"5,keyasint"`
	Zone     string        `cbor:"6,keyasint"`
	Slots    int           `cbor:"7,keyasint"`
	Leaving  bool          `cbor:"8,keyasint,omitempty"`
	ColdFor  time.Duration `cbor:"9,keyasint,omitempty"` // still slow after its start
}

// newerThan reports whether a is newer than b, both of one target.
func (a *Announcement) newerThan(b *Announcement) bool {
	if a.Life != b.Life {
		return a.Life > b.Life
	}
	return a.Sequence > b.Sequence
}

// Target is an entry of the roster.
type Target struct {
	Announcement
	LastHeard time.Duration // time of the newest announcement
	ColdUntil time.Duration // zero if warm
	Joined    time.Duration // when this life was first heard of
	Silent    bool          // announcements are overdue
	revision  uint64
}

// Cold reports whether the target is still slow after its start.
func (t *Target) Cold(now time.Duration) bool { return t.ColdUntil > now }

// Report is a Target as it travels between hosts, whose clocks differ.
type Report struct {
	Announcement
	Age    time.Duration `cbor:"20,keyasint"` // since the newest announcement
	Silent bool          `cbor:"21,keyasint,omitempty"`
}
