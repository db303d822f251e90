package bundle

// Service is a group of targets that answer the same requests.
type Service struct {
	Name              string   `toml:"name"`
	Targets           int      `toml:"targets"`            // expected number, for capacity checks; targets announce themselves
	Slots             int      `toml:"slots"`              // requests outstanding at one target
	Connections       int      `toml:"connections"`        // open connections to one target
	RequestTimeoutMs  int      `toml:"request_timeout_ms"` // longest time until an answer starts
	WarmUpMs          int      `toml:"warm_up_ms"`         // time until a new target gets all of its slots
	RepeatableMethods []string `toml:"repeatable_methods"` // HTTP methods that may run more than once
	BulkPrefixes      []string `toml:"bulk_prefixes"`      // path prefixes of exports and downloads
}
