// Package delta encodes a document as its difference to an earlier version that the
// receiver holds. The difference is a zstd frame whose dictionary is that version, so
// that any text with long common parts becomes short. Without an earlier version the
// document is only compressed.
package delta

import (
	"errors"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID marks frames with a dictionary; it has no meaning beyond that.
	dictionaryID = 1
	// minWindow is the smallest window that the encoder is given, in bytes.
	minWindow = 64 << 10
	// minMemory is the smallest memory that the decoder is given, in bytes. It covers the
	// window of a frame.
	minMemory = 2 * minWindow
	// minDictionary is the smallest earlier version that is used, in bytes.
	minDictionary = 64
)

// ErrDigest is returned when a decoded document is not the one that was encoded, as
// with another base.
var ErrDigest = errors.New("the decoded document has another digest")

// Digest returns the digest by which a document is recognized, never 0.
func Digest(document []byte) uint64 { return max(xxhash.Sum64(document), 1) }

// Encode returns the difference of a document to base, which may be empty. The result
// depends only on both.
func Encode(base, document []byte) ([]byte, error) {
	window := max(minWindow, 1<<bits.Len(uint(len(base)+len(document))))
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(min(window, zstd.MaxWindowSize)), zstd.WithEncoderLevel(zstd.SpeedBetterCompression)}
	if len(base) >= minDictionary {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("create encoder: %w", err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(document, nil), nil
}

// Decode returns the document of at most limit bytes whose difference to base is data.
// It returns ErrDigest if the document does not have the digest.
func Decode(base, data []byte, limit int, digest uint64) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(max(limit, minMemory)))}
	if len(base) >= minDictionary {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("create decoder: %w", err)
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decode difference of %d bytes: %w", len(data), err)
	}
	if len(document) > limit {
		return nil, fmt.Errorf("document has %d bytes, the limit is %d", len(document), limit)
	}
	if Digest(document) != digest {
		return nil, ErrDigest
	}
	return document, nil
}
