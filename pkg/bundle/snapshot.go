package bundle

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// snapshot is the CBOR form of a bundle. Blocks take most of the space and are
// packed. Each is a byte with the prefix length, the address bytes that this
// length covers, and the index of its zone in BlockZones as a varint.
type snapshot struct {
	Version    uint64             `cbor:"1,keyasint"`
	Deployment string             `cbor:"2,keyasint"`
	Regions    []Region           `cbor:"3,keyasint"`
	Zones      []AvailabilityZone `cbor:"4,keyasint"`
	Hosts      []Host             `cbor:"5,keyasint"`
	Links      []Link             `cbor:"6,keyasint"`
	Services   []Service          `cbor:"7,keyasint"`
	Drains     []Drain            `cbor:"8,keyasint"`
	BlockZones []string           `cbor:"9,keyasint"`
	BlockCount int                `cbor:"10,keyasint"`
	Blocks     []byte             `cbor:"11,keyasint"`
}

// ipv6Bits is added to the prefix length of an IPv6 block to tell it from IPv4.
const ipv6Bits = 64

// EncodeSnapshot returns the compact binary form of a canonical bundle.
func EncodeSnapshot(b *Bundle) ([]byte, error) {
	s := snapshot{Version: b.Version, Deployment: b.Deployment, Regions: b.Regions, Zones: b.Zones,
		Hosts: b.Hosts, Links: b.Links, Services: b.Services, Drains: b.Drains, BlockCount: len(b.Blocks)}
	if err := s.packBlocks(b.Blocks); err != nil {
		return nil, err
	}
	return encoding.Marshal(&s)
}

// DecodeSnapshot decodes the result of EncodeSnapshot into a canonical bundle.
func DecodeSnapshot(data []byte) (*Bundle, error) {
	var s snapshot
	if err := decoding.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	blocks, err := s.unpackBlocks()
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	b := &Bundle{Version: s.Version, Deployment: s.Deployment, Regions: s.Regions, Zones: s.Zones,
		Hosts: s.Hosts, Links: s.Links, Services: s.Services, Drains: s.Drains, Blocks: blocks}
	b.Canonicalize()
	return b, nil
}

func (s *snapshot) packBlocks(blocks []CallerBlock) error {
	zones := map[string]uint64{}
	for i := range blocks {
		p, err := netip.ParsePrefix(blocks[i].Prefix)
		if err != nil {
			return fmt.Errorf("block %q: %w", blocks[i].Prefix, err)
		}
		zone, ok := zones[blocks[i].AvailabilityZone]
		if !ok {
			zone = uint64(len(zones))
			zones[blocks[i].AvailabilityZone] = zone
			s.BlockZones = append(s.BlockZones, blocks[i].AvailabilityZone)
		}
		s.Blocks = appendPrefix(s.Blocks, p)
		s.Blocks = binary.AppendUvarint(s.Blocks, zone)
	}
	return nil
}

// appendPrefix appends the packed form of a prefix.
func appendPrefix(buf []byte, p netip.Prefix) []byte {
	bits := p.Bits()
	if p.Addr().Is4() {
		buf = append(buf, byte(bits))
	} else {
		buf = append(buf, byte(ipv6Bits+bits))
	}
	return append(buf, p.Addr().AsSlice()[:(bits+7)/8]...)
}

var errBadBlocks = errors.New("packed blocks are malformed")

func (s *snapshot) unpackBlocks() ([]CallerBlock, error) {
	// A block takes at least two bytes. This bounds what a malformed count allocates.
	if s.BlockCount < 0 || s.BlockCount > len(s.Blocks)/2 {
		return nil, errBadBlocks
	}
	if s.BlockCount == 0 {
		return nil, nil
	}
	u := &unpacker{rest: s.Blocks, ends: make([]uint32, 0, s.BlockCount)}
	u.text.Grow(s.BlockCount * usualPrefixBytes)
	blocks := make([]CallerBlock, s.BlockCount)
	for i := range blocks {
		zone, err := u.block()
		if err != nil {
			return nil, err
		}
		if zone >= uint64(len(s.BlockZones)) {
			return nil, errBadBlocks
		}
		blocks[i].AvailabilityZone = s.BlockZones[zone]
	}
	if len(u.rest) > 0 {
		return nil, errBadBlocks
	}
	u.assign(blocks)
	return blocks, nil
}

// unpacker decodes packed blocks. It writes the text of all prefixes into one
// string, which takes one allocation for all of them.
type unpacker struct {
	rest []byte // not yet decoded
	text strings.Builder
	ends []uint32 // end of each prefix in text
}

// usualPrefixBytes is the text length of an IPv4 prefix such as 100.200.30.0/24,
// used to size the buffer.
const usualPrefixBytes = 15

// block decodes the next block, adds its prefix to text and returns the index of
// its zone.
func (u *unpacker) block() (zone uint64, err error) {
	if len(u.rest) == 0 {
		return 0, errBadBlocks
	}
	bits, size := int(u.rest[0]), 4
	if bits >= ipv6Bits {
		bits, size = bits-ipv6Bits, 16
	}
	n := (bits + 7) / 8
	if n > size || len(u.rest) < 1+n {
		return 0, errBadBlocks
	}
	var raw [16]byte
	copy(raw[:], u.rest[1:1+n])
	u.rest = u.rest[1+n:]
	addr := netip.AddrFrom16(raw)
	if size == 4 {
		addr = netip.AddrFrom4([4]byte(raw[:4]))
	}
	var text [64]byte
	u.text.Write(netip.PrefixFrom(addr, bits).AppendTo(text[:0]))
	u.ends = append(u.ends, uint32(u.text.Len()))
	zone, read := binary.Uvarint(u.rest)
	if read <= 0 {
		return 0, errBadBlocks
	}
	u.rest = u.rest[read:]
	return zone, nil
}

// assign sets the prefixes of the blocks to parts of the collected text.
func (u *unpacker) assign(blocks []CallerBlock) {
	text := u.text.String()
	start := uint32(0)
	for i, end := range u.ends {
		blocks[i].Prefix = text[start:end]
		start = end
	}
}
