package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestMatchLongestPrefix guards against an index that finds another route than a search
// of all routes.
func TestMatchLongestPrefix(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	part := func() string { return string("ab"[random.IntN(2)]) }
	for range 300 {
		p := &Policy{}
		for i := range random.IntN(8) {
			prefix := "/" + strings.Repeat(part()+"/", random.IntN(4))
			if random.IntN(4) == 0 {
				prefix += part() // does not end a part of the path
			}
			p.Routes = append(p.Routes, Route{Name: fmt.Sprint(i), Host: "H", Prefix: prefix})
		}
		p.Index()
		path := "/" + strings.Repeat(part()+"/", random.IntN(4)) + part()
		var want *Route
		for i := range p.Routes {
			if r := &p.Routes[i]; strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = r
			}
		}
		if got := p.Match("h:80", path); got != want {
			t.Fatalf("Match(%q) = %v, want %v of %v", path, got, want, p.Routes)
		}
	}
	if p := (&Policy{}); p.Match("h", "/") != nil {
		t.Error("a policy without an index matches")
	}
}

// BenchmarkMatch measures the match of a path by the number of routes of its host.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := &Policy{}
			for i := range n {
				p.Routes = append(p.Routes, Route{Host: "h", Prefix: fmt.Sprintf("/prefix%05d/", i)})
			}
			p.Index()
			for b.Loop() {
				if p.Match("h", "/prefix00050/x") == nil {
					b.Fatal("no match")
				}
			}
		})
	}
}
