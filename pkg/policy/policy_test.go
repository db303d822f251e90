package policy

import (
	"strings"
	"testing"
	"time"
)

func valid() *Policy {
	p := &Policy{Version: 1, Services: map[string]Service{"s": {Name: "s"}}}
	p.Routes = []Route{{Name: "r", Host: "h", Prefix: "/", Shares: []Share{{"s", 1}}, Timeout: time.Second, MaxAttempts: 1}}
	return p
}

// Guards against accepting policies that cannot be served.
func TestCheckFindsEachFault(t *testing.T) {
	if found := valid().Check("p"); len(found) > 0 {
		t.Fatalf("a valid policy has findings: %v", found)
	}
	for name, spoil := range map[string]func(*Route){
		"does not exist":  func(r *Route) { r.Shares[0].Service = "x" },
		"add up to 0":     func(r *Route) { r.Shares = []Share{{"s", 0}} },
		"is negative":     func(r *Route) { r.Shares = []Share{{"s", -1}, {"s", 2}} },
		"not positive":    func(r *Route) { r.Timeout = 0 },
		"is over":         func(r *Route) { r.Timeout = MaxTimeout + 1 },
		"below 1":         func(r *Route) { r.MaxAttempts = 0 },
		"host is empty":   func(r *Route) { r.Host = "" },
		"no destination ": func(r *Route) { r.Shares = nil },
	} {
		p := valid()
		spoil(&p.Routes[0])
		if text := p.Check("p").Error(); !strings.Contains(text, name) {
			t.Errorf("findings %q lack %q", text, name)
		}
	}
}

// Guards against accepting an empty host that has no routes.
func TestCheckFindsAnEmptyHost(t *testing.T) {
	p := valid()
	p.Hosts = []string{"h", ""}
	if text := p.Check("p").Error(); !strings.Contains(text, "hosts[1]") {
		t.Errorf("findings %q lack hosts[1]", text)
	}
}

// Guards against reporting only the first of several faults.
func TestCheckFindsAllFaults(t *testing.T) {
	p := valid()
	p.Routes[0].Host, p.Routes[0].Timeout, p.Routes[0].MaxAttempts = "", 0, 0
	if found := p.Check("p"); len(found) != 3 {
		t.Errorf("%d findings, want 3: %v", len(found), found)
	}
}

// Guards against matching a shorter prefix when a longer one matches too.
func TestMatchTakesTheLongestPrefix(t *testing.T) {
	p := &Policy{Routes: []Route{
		{Name: "short", Host: "H", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "o", Prefix: "/a/b/c/"},
	}}
	p.Index()
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/x", "short"}, {"h:80", "/a/b/c/d", "long"}, {"o", "/a/b/c/", "other"}, {"o", "/a/", ""}, {"x", "/a/", ""}, {"h", "/", ""},
	} {
		name := ""
		if r := p.Match(c.host, c.path); r != nil {
			name = r.Name
		}
		if name != c.want {
			t.Errorf("%s%s matches %q, want %q", c.host, c.path, name, c.want)
		}
	}
}

// Guards against a distribution over the destinations that does not follow their
// weights.
func TestDestinationFollowsWeights(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 0}, {"c", 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Destination(float64(i)/1000)]++
	}
	if counts["a"] != 900 || counts["b"] != 0 || counts["c"] != 100 {
		t.Errorf("counts %v, want 900 for a, 0 for b and 100 for c", counts)
	}
}

// Guards against wrong ranks of routes among the priorities of their service.
func TestPriorityRank(t *testing.T) {
	to := func(service string, priority int) Route {
		return Route{Host: "h", Prefix: "/", Priority: priority, Shares: []Share{{Service: service, Weight: 1}}}
	}
	p := &Policy{Routes: []Route{to("a", 2), to("a", 1), to("a", 2), to("b", 2), to("a", 7)}}
	p.Index()
	for i, want := range []int{1, 0, 1, 0, 2} {
		service, ranks := "a", 3
		if i == 3 {
			service, ranks = "b", 1
		}
		if rank, n := p.PriorityRank(&p.Routes[i], service); rank != want || n != ranks {
			t.Errorf("route %d has rank %d of %d, want %d of %d", i, rank, n, want, ranks)
		}
	}
}
