package roster

import "time"

// Life identifies one incarnation of a target by its start: Unix time in milliseconds.
// Later incarnations have higher numbers.
type Life int64

// Announcement is the state that a target reports about itself.
type Announcement struct {
	Name     string        `cbor:"1,keyasint"`
	Life     Life          `cbor:"2,keyasint"`
	Sequence uint64        `cbor:"3,keyasint"`
	Service  string        `cbor:"4,keyasint"`
	Address  string        `cbor:"5,keyasint"`
	Zone     string        `cbor:"6,keyasint"`
	Slots    int           `cbor:"7,keyasint"`
	Leaving  bool          `cbor:"8,keyasint,omitempty"`
	ColdFor  time.Duration `cbor:"9,keyasint,omitempty"` // remaining warm-up time, during which the target is slow
}

// newerThan reports whether a was sent after b. Both must be of the same target.
func (a *Announcement) newerThan(b *Announcement) bool {
	if a.Life != b.Life {
		return a.Life > b.Life
	}
	return a.Sequence > b.Sequence
}

// Target is the state of a target in the roster. Times are on the clock of the host
// that holds the roster.
type Target struct {
	Announcement
	LastHeard  time.Duration // when the newest announcement was sent
	ColdUntil  time.Duration // end of the warm-up; zero if there is none
	Joined     time.Duration // when this life was first announced
	Silent     bool          // announcements are overdue
	Unnamed    bool          // the policy does not name the service
	Superseded bool          // a target that started later announces the same address
	revision   uint64        // of the last change of this target
}

// Usable reports whether the target may get requests as far as its own announcements and
// those of the other targets say. A silent target may.
func (t *Target) Usable() bool { return !t.Leaving && !t.Unnamed && !t.Superseded }

// Cold reports whether the target is still warming up.
func (t *Target) Cold(now time.Duration) bool { return t.ColdUntil > now }

// Report is the form in which hosts send each other a Target. It carries ages instead
// of times because their clocks differ.
type Report struct {
	Announcement
	Age    time.Duration `cbor:"20,keyasint"` // time since the newest announcement
	Silent bool          `cbor:"21,keyasint,omitempty"`
}
