package bundle

import "github.com/fxamacker/cbor/v2"

// encoding is deterministic: equal content gives equal bytes, as digests require.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decoding accepts the long arrays of large bundles and rejects duplicate map keys.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxChanges,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// maxChanges is the maximum number of elements of a decoded array, such as the
// changes of a delta. It is large enough for a change of all 640,000 caller
// blocks of the planned size.
const maxChanges = 2_000_000
