package bundle

// Link joins two regions. Its cap applies to each direction separately and is
// shared by all traffic.
type Link struct {
	Regions       [2]string `toml:"regions" cbor:"1,keyasint" json:"regions"`
	MbitPerSecond float64   `toml:"mbit_per_second" cbor:"2,keyasint" json:"mbit_per_second"`
	LatencyMs     float64   `toml:"latency_ms" cbor:"3,keyasint" json:"latency_ms"` // one way
}
