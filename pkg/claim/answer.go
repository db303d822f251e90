package claim

// Answer is the response of a target that a store keeps for resends.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// BodyDropped is set if the body exceeded MaxBody; only the status and header are kept.
	BodyDropped bool `cbor:"4,keyasint,omitempty"`
}
