package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
)

const (
	segmentSuffix  = ".segment"
	snapshotSuffix = ".snapshot"
	tempSuffix     = ".tmp"
)

// segmentMagic is the header of every segment file and identifies its format.
var segmentMagic = []byte("hornbeam wal 1\n\x00")

// segment describes one file of frames.
type segment struct {
	name     string
	first    uint64 // sequence number of its first frame
	size     int64  // bytes
	maxIndex uint64 // largest index of its live records
}

func segmentName(first uint64) string { return fmt.Sprintf("%020d%s", first, segmentSuffix) }

// parseName returns the number in a file name of 20 digits and a suffix.
func parseName(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 20 {
		return 0, false
	}
	var n uint64
	if _, err := fmt.Sscanf(digits, "%d", &n); err != nil {
		return 0, false
	}
	return n, fmt.Sprintf("%020d", n) == digits
}

// scanSegment decodes the frames of a segment file that starts with sequence first.
// It returns the byte offset of the end of the last intact frame. An incomplete frame
// at the end is accepted in the last segment and a CorruptError in all others.
func scanSegment(file string, data []byte, first uint64, last bool) ([]frame, int64, error) {
	if !bytes.HasPrefix(data, segmentMagic) {
		// The header is synced before the first frame is written, so a file that is
		// too short for a frame may be one whose creation was interrupted.
		if last && len(data) <= len(segmentMagic) {
			return nil, 0, nil
		}
		return nil, 0, &CorruptError{File: file, Reason: "segment header is damaged or of an unknown format"}
	}
	var frames []frame
	offset, next := len(segmentMagic), first
	for offset < len(data) {
		f, size, ok := decodeFrame(data[offset:])
		if !ok {
			break
		}
		if f.Sequence != next {
			return nil, 0, &CorruptError{File: file, Offset: int64(offset),
				Reason: fmt.Sprintf("frame has sequence %d instead of %d", f.Sequence, next)}
		}
		frames = append(frames, f)
		offset, next = offset+size, next+1
	}
	if offset == len(data) {
		return frames, int64(offset), nil
	}
	if !last {
		return nil, 0, &CorruptError{File: file, Offset: int64(offset), Reason: "damaged frame before the last segment"}
	}
	if at, found := intactFrameAfter(data, offset, next); found {
		return nil, 0, &CorruptError{File: file, Offset: int64(offset),
			Reason: fmt.Sprintf("damaged frame before an intact one at offset %d", at)}
	}
	return frames, int64(offset), nil
}

// intactFrameAfter searches for an intact frame after a damaged one and returns its
// offset. A frame is written only after the previous one is synced, so an intact later
// frame shows that the damage is not an interrupted write.
func intactFrameAfter(data []byte, offset int, sequence uint64) (int, bool) {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := offset + 1; ; at++ {
		step := bytes.Index(data[min(at, len(data)):], magic)
		if step < 0 {
			return 0, false
		}
		at += step
		if f, _, ok := decodeFrame(data[at:]); ok && f.Sequence > sequence {
			return at, true
		}
	}
}
