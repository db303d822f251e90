package bundle

import "github.com/fxamacker/cbor/v2"

// encoding gives one byte sequence for equal content, as digests need it.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decoding admits snapshots of large bundles and refuses repeated keys.
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

// maxChanges bounds the records of one delta. It leaves room for a change of
// all 640,000 caller blocks of the planned size.
const maxChanges = 2_000_000
