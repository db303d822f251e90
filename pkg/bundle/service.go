package bundle

// Service is a group of targets that answer the same requests.
type Service struct {
	Name              string   `toml:"name" cbor:"1,keyasint" json:"name"`
	Targets           int      `toml:"targets" cbor:"2,keyasint" json:"targets"`                       // expected number, for capacity checks; targets announce themselves
	Slots             int      `toml:"slots" cbor:"3,keyasint" json:"slots"`                           // maximum number of requests outstanding at one target
	Connections       int      `toml:"connections" cbor:"4,keyasint" json:"connections"`               // maximum number of open connections to one target
	RequestTimeoutMs  int      `toml:"request_timeout_ms" cbor:"5,keyasint" json:"request_timeout_ms"` // maximum time until a response starts
	WarmUpMs          int      `toml:"warm_up_ms" cbor:"6,keyasint" json:"warm_up_ms"`                 // time until a new target gets all of its slots
	RepeatableMethods []string `toml:"repeatable_methods" cbor:"7,keyasint" json:"repeatable_methods"` // HTTP methods whose requests may be executed more than once
	BulkPrefixes      []string `toml:"bulk_prefixes" cbor:"8,keyasint" json:"bulk_prefixes"`           // path prefixes of exports and downloads
}
