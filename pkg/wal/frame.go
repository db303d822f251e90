package wal

import (
	"encoding/binary"
	"hash/crc32"
)

type frameKind uint8

const (
	frameAppend frameKind = iota + 1
	frameTruncate
)

const (
	frameMagic = 0x31465748 // "HWF1" in little-endian order
	// magic, body length, sequence, kind, and CRC32C of length, sequence, kind and body
	frameHeaderBytes  = 4 + 4 + 8 + 1 + 4
	recordHeaderBytes = 8 + 4 // index, data length
	// MaxRecordBytes limits the data of one record, whose length field has 32 bits.
	MaxRecordBytes = 256 << 20
	maxFrameBytes  = 1 << 30
	// MaxAppendBytes limits the encoded records of one Append. A frame holds one such
	// call at most on top of maxBatchBytes, so that it stays below maxFrameBytes and can
	// be read again.
	MaxAppendBytes = 512 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is the unit of writing; all its records become durable together.
type frame struct {
	Sequence uint64 // consecutive over all segments
	Kind     frameKind
	Records  []Record
	After    uint64 // for frameTruncate: records with a larger index are removed
}

func (f *frame) encode() []byte {
	size := 8
	for _, r := range f.Records {
		size += recordHeaderBytes + len(r.Data)
	}
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+size)
	if f.Kind == frameTruncate {
		buf = binary.LittleEndian.AppendUint64(buf, f.After)
	}
	for _, r := range f.Records {
		buf = binary.LittleEndian.AppendUint64(buf, r.Index)
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r.Data)))
		buf = append(buf, r.Data...)
	}
	binary.LittleEndian.PutUint32(buf[0:], frameMagic)
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(buf)-frameHeaderBytes))
	binary.LittleEndian.PutUint64(buf[8:], f.Sequence)
	buf[16] = byte(f.Kind)
	binary.LittleEndian.PutUint32(buf[17:], frameChecksum(buf))
	return buf
}

// frameChecksum returns the CRC32C of an encoded frame without its magic and checksum.
func frameChecksum(buf []byte) uint32 {
	sum := crc32.Update(0, castagnoli, buf[4:17])
	return crc32.Update(sum, castagnoli, buf[frameHeaderBytes:])
}

// decodeFrame decodes the frame at the start of buf and returns its size in bytes. ok
// is false if no complete, intact frame starts there.
func decodeFrame(buf []byte) (f frame, size int, ok bool) {
	if len(buf) < frameHeaderBytes || binary.LittleEndian.Uint32(buf) != frameMagic {
		return f, 0, false
	}
	body := int(binary.LittleEndian.Uint32(buf[4:]))
	if body > maxFrameBytes || body > len(buf)-frameHeaderBytes {
		return f, 0, false
	}
	size = frameHeaderBytes + body
	buf = buf[:size]
	if binary.LittleEndian.Uint32(buf[17:]) != frameChecksum(buf) {
		return f, 0, false
	}
	f.Sequence, f.Kind = binary.LittleEndian.Uint64(buf[8:]), frameKind(buf[16])
	return f, size, f.decodeBody(buf[frameHeaderBytes:])
}

// decodeBody reports whether body is well-formed. The records share its memory.
func (f *frame) decodeBody(body []byte) bool {
	switch f.Kind {
	case frameTruncate:
		if len(body) != 8 {
			return false
		}
		f.After = binary.LittleEndian.Uint64(body)
		return true
	case frameAppend:
		for len(body) >= recordHeaderBytes {
			index, n := binary.LittleEndian.Uint64(body), int(binary.LittleEndian.Uint32(body[8:]))
			body = body[recordHeaderBytes:]
			if n > len(body) {
				return false
			}
			f.Records = append(f.Records, Record{Index: index, Data: body[:n:n]})
			body = body[n:]
		}
		return len(body) == 0
	}
	return false
}
