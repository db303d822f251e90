package policy

import "slices"

// hostRoutes holds the routes of one host. The time of a match grows with the number of
// different lengths of prefixes, not with the number of routes.
type hostRoutes struct {
	prefixes map[string]*Route
	lengths  []int // of all prefixes, longest first
}

// add adds a route. Of several with the same prefix the first one counts.
func (h *hostRoutes) add(r *Route) {
	if _, ok := h.prefixes[r.Prefix]; ok {
		return
	}
	h.prefixes[r.Prefix] = r
	at, found := slices.BinarySearchFunc(h.lengths, len(r.Prefix), func(a, b int) int { return b - a })
	if !found {
		h.lengths = slices.Insert(h.lengths, at, len(r.Prefix))
	}
}

// match returns the route with the longest prefix of path, nil if there is none.
func (h *hostRoutes) match(path string) *Route {
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if r, ok := h.prefixes[path[:n]]; ok {
			return r
		}
	}
	return nil
}
