package bundle

// Record is one entry of a bundle in canonical form. Keys have the form
// kind/name, as "zone/east-a".
type Record struct {
	Key   string `cbor:"1,keyasint" json:"key"`
	Value []byte `cbor:"2,keyasint,omitempty" json:"value,omitempty"`
}

// Records returns all records in canonical order. The bundle must be canonical.
func (b *Bundle) Records() []Record {
	var all []Record
	b.walk(func(key, value []byte) {
		all = append(all, Record{Key: string(key), Value: append([]byte(nil), value...)})
	})
	return all
}

// walk calls fn for each record in canonical order. The slices are reused.
func (b *Bundle) walk(fn func(key, value []byte)) {
	for _, k := range recordKinds {
		k.walk(b, fn)
	}
}

// Canonicalize puts the bundle into canonical form: it sorts all lists, so that
// equal content has equal records.
func (b *Bundle) Canonicalize() {
	for _, k := range recordKinds {
		k.sort(b)
	}
}
