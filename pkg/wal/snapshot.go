package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// snapshotMagic is the header of every snapshot file and identifies its format.
var snapshotMagic = []byte("hornbeam snap 1\n")

// snapshotHeaderBytes is the size of index, length, and CRC32C of index, length and data.
const snapshotHeaderBytes = 8 + 8 + 4

func snapshotName(index uint64) string { return fmt.Sprintf("%020d%s", index, snapshotSuffix) }

func encodeSnapshot(index uint64, data []byte) []byte {
	buf := make([]byte, 0, len(snapshotMagic)+snapshotHeaderBytes+len(data))
	buf = append(buf, snapshotMagic...)
	buf = binary.LittleEndian.AppendUint64(buf, index)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(len(data)))
	sum := crc32.Update(crc32.Checksum(buf[len(snapshotMagic):], castagnoli), castagnoli, data)
	buf = binary.LittleEndian.AppendUint32(buf, sum)
	return append(buf, data...)
}

// decodeSnapshot returns the data of a snapshot file. The data shares the memory of
// buf. Any mismatch is a CorruptError.
func decodeSnapshot(file string, buf []byte, index uint64) ([]byte, error) {
	rest, ok := bytes.CutPrefix(buf, snapshotMagic)
	if !ok || len(rest) < snapshotHeaderBytes {
		return nil, &CorruptError{File: file, Reason: "snapshot header is damaged or of an unknown format"}
	}
	data := rest[snapshotHeaderBytes:]
	sum := crc32.Update(crc32.Checksum(rest[:16], castagnoli), castagnoli, data)
	switch {
	case binary.LittleEndian.Uint64(rest[8:]) != uint64(len(data)):
		return nil, &CorruptError{File: file, Offset: int64(len(buf)), Reason: "snapshot has the wrong length"}
	case binary.LittleEndian.Uint32(rest[16:]) != sum:
		return nil, &CorruptError{File: file, Offset: int64(len(snapshotMagic)), Reason: "snapshot checksum does not match"}
	case binary.LittleEndian.Uint64(rest) != index:
		return nil, &CorruptError{File: file, Offset: int64(len(snapshotMagic)), Reason: "snapshot index does not match the file name"}
	}
	return data, nil
}
