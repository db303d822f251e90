package bundle

// Region is a group of availability zones with short round trips between them.
type Region struct {
	Name            string  `toml:"name" cbor:"1,keyasint" json:"name"`
	ZoneLatencyMs   float64 `toml:"zone_latency_ms" cbor:"2,keyasint" json:"zone_latency_ms"`     // one way, between its availability zones
	CallerLatencyMs float64 `toml:"caller_latency_ms" cbor:"3,keyasint" json:"caller_latency_ms"` // one way, to callers
}
