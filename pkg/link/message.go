package link

// LeaseRequest asks the leader for a lease on each route of a host.
type LeaseRequest struct {
	Host    string        `cbor:"1,keyasint"`
	Demands []RouteDemand `cbor:"2,keyasint"`
}

// RouteDemand is the rate that a host requests on one route.
type RouteDemand struct {
	Route  Route   `cbor:"1,keyasint"`
	Demand float64 `cbor:"2,keyasint"` // bytes per second
}

// LeaseReply holds the leased shares in the order of LeaseRequest.Demands.
type LeaseReply struct {
	Shares []float64 `cbor:"1,keyasint"` // bytes per second above the floor
}
