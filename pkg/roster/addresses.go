package roster

import "slices"

// addressClaims holds the names of the targets that announce an address.
type addressClaims map[string][]string

func (c addressClaims) add(t *Target) { c[t.Address] = append(c[t.Address], t.Name) }

func (c addressClaims) remove(t *Target) {
	left := slices.DeleteFunc(c[t.Address], func(name string) bool { return name == t.Name })
	if len(left) == 0 {
		delete(c, t.Address)
		return
	}
	c[t.Address] = left
}

// settle decides which of the targets that announce an address are superseded. The caller
// holds mu, and calls it after each change of a target that may alter this.
func (r *Roster) settle(address string) {
	latest := Life(-1) // of those whose announcements count
	for _, name := range r.addresses[address] {
		if t := r.targets[name]; t.claimsAddress() {
			latest = max(latest, t.Life)
		}
	}
	for _, name := range r.addresses[address] {
		t := r.targets[name]
		if superseded := t.Life < latest; superseded != t.Superseded {
			t.Superseded = superseded
			r.markChanged(t)
		}
	}
}

// claimsAddress reports whether targets that started earlier give up the address of t.
func (t *Target) claimsAddress() bool { return !t.Unnamed && !t.Leaving && !t.Silent }
