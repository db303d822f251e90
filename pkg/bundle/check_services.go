package bundle

import "strings"

// httpMethods are the request methods that a service may declare repeatable.
var httpMethods = map[string]bool{
	"GET": true, "HEAD": true, "OPTIONS": true, "PUT": true, "DELETE": true, "POST": true, "PATCH": true,
}

// MaxRequestTimeoutMs is the upper limit of request_timeout_ms. Claims hold down a
// refused key for longer than this, so that no earlier attempt with the key can
// still be in flight when the key may be used again.
const MaxRequestTimeoutMs = 25_000

func (c *checker) checkServices() {
	seen := keyByValue{}
	for i, s := range c.b.Services {
		key := keyAt("service", i, "name")
		c.name(key, s.Name)
		c.unique(seen, key, s.Name)
		for _, setting := range []struct {
			field   string
			value   int
			minimum int
		}{
			{"targets", s.Targets, 0}, {"slots", s.Slots, 1}, {"connections", s.Connections, 1},
			{"request_timeout_ms", s.RequestTimeoutMs, 1}, {"warm_up_ms", s.WarmUpMs, 0},
		} {
			if setting.value < setting.minimum {
				c.add(keyAt("service", i, setting.field), "must be %d or more, not %d", setting.minimum, setting.value)
			}
		}
		if s.RequestTimeoutMs > MaxRequestTimeoutMs {
			c.add(keyAt("service", i, "request_timeout_ms"), "must be at most %d, not %d", MaxRequestTimeoutMs, s.RequestTimeoutMs)
		}
		if s.Connections < s.Slots {
			c.add(keyAt("service", i, "connections"), "%d connections cannot carry %d slots", s.Connections, s.Slots)
		}
		methods, prefixes := keyByValue{}, keyByValue{}
		for j, method := range s.RepeatableMethods {
			key := keyAt(keyAt("service", i, "repeatable_methods"), j, "")
			if !httpMethods[method] {
				c.add(key, "%q is not an HTTP method in capital letters", method)
			}
			c.unique(methods, key, method)
		}
		for j, prefix := range s.BulkPrefixes {
			key := keyAt(keyAt("service", i, "bulk_prefixes"), j, "")
			if !strings.HasPrefix(prefix, "/") {
				c.add(key, "%q must start with /", prefix)
			}
			c.unique(prefixes, key, prefix)
		}
	}
}
