package bundle

import "strings"

// httpMethods are the request methods that a service may allow to repeat.
var httpMethods = map[string]bool{
	"GET": true, "HEAD": true, "OPTIONS": true, "PUT": true, "DELETE": true, "POST": true, "PATCH": true,
}

// MaxRequestTimeoutMs bounds request_timeout_ms. Claims close a refused key for
// longer than this, so that no earlier send of it is still on its way afterwards.
const MaxRequestTimeoutMs = 25_000

func (c *checker) checkServices() {
	seen := duplicates{}
	for i, s := range c.b.Services {
		key := at("service", i, "name")
		c.name(key, s.Name)
		c.unique(seen, key, s.Name)
		for _, figure := range []struct {
			field string
			value int
			least int
		}{
			{"targets", s.Targets, 0}, {"slots", s.Slots, 1}, {"connections", s.Connections, 1},
			{"request_timeout_ms", s.RequestTimeoutMs, 1}, {"warm_up_ms", s.WarmUpMs, 0},
		} {
			if figure.value < figure.least {
				c.add(at("service", i, figure.field), "must be %d or more, not %d", figure.least, figure.value)
			}
		}
		if s.RequestTimeoutMs > MaxRequestTimeoutMs {
			c.add(at("service", i, "request_timeout_ms"), "must be at most %d, not %d", MaxRequestTimeoutMs, s.RequestTimeoutMs)
		}
		if s.Connections < s.Slots {
			c.add(at("service", i, "connections"), "%d connections cannot carry %d slots", s.Connections, s.Slots)
		}
		methods, prefixes := duplicates{}, duplicates{}
		for j, method := range s.RepeatableMethods {
			key := at(at("service", i, "repeatable_methods"), j, "")
			if !httpMethods[method] {
				c.add(key, "%q is not an HTTP method in capital letters", method)
			}
			c.unique(methods, key, method)
		}
		for j, prefix := range s.BulkPrefixes {
			key := at(at("service", i, "bulk_prefixes"), j, "")
			if !strings.HasPrefix(prefix, "/") {
				c.add(key, "%q must start with /", prefix)
			}
			c.unique(prefixes, key, prefix)
		}
	}
}
