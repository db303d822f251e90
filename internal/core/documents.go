package core

import (
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/delta"
)

const (
	// documentPart is the largest part of an encoded document in one reply, in bytes.
	// Other messages on the connection wait for it, also on a thin link.
	documentPart = 16 << 10
	// maxBases and maxBaseBytes limit the earlier documents that are kept as bases.
	maxBases     = 32
	maxBaseBytes = 16 << 20
	// maxEncodings and maxEncodingBytes limit the encoded documents that are kept. While
	// policies change quickly, entry hosts finish transfers of older ones.
	maxEncodings     = 32
	maxEncodingBytes = 16 << 20
)

// base is a document that entry hosts may hold.
type base struct {
	digest uint64
	body   []byte
}

// encoding is a document encoded for the holders of one base.
type encoding struct {
	reply fleet.DocumentReply // without Offset and Part
	data  []byte
}

// documents encodes the newest policy document as the difference to earlier ones. It is
// safe for concurrent use.
type documents struct {
	encodeMu sync.Mutex // held while a difference is computed, so that one is at a time

	mu        sync.Mutex // of the lists; never held while a difference is computed
	bases     []base     // newest last
	encodings []*encoding
}

// add keeps a document as a base for later ones, unless it is the newest already.
func (s *documents) add(body []byte) {
	digest := delta.Digest(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.bases); n > 0 && s.bases[n-1].digest == digest {
		return
	}
	s.bases = append(s.bases, base{digest, body})
	s.bases = dropOldest(s.bases, maxBases, maxBaseBytes, func(b base) int { return len(b.body) })
}

// dropOldest removes elements from the front of list until it has at most maxCount
// elements and maxBytes bytes. The last element stays in any case.
func dropOldest[T any](list []T, maxCount, maxBytes int, size func(T) int) []T {
	total := 0
	for i := len(list) - 1; i >= 0; i-- {
		total += size(list[i])
		if i < len(list)-1 && (total > maxBytes || len(list)-i > maxCount) {
			return slices.Clone(list[i+1:])
		}
	}
	return list
}

// part returns the requested part of the newest document, or of an older one whose
// transfer has begun.
func (s *documents) part(newest *desired.Document, req fleet.DocumentRequest) (fleet.DocumentReply, error) {
	e := s.find(func(e *encoding) bool { return req.Transfer != 0 && e.reply.Transfer == req.Transfer })
	offset := req.Offset
	if e == nil || offset < 0 || offset > len(e.data) {
		var err error
		if e, err = s.encode(newest, req.Base); err != nil {
			return fleet.DocumentReply{}, err
		}
		offset = 0
	}
	reply := e.reply
	reply.Offset, reply.Part = offset, e.data[offset:min(offset+documentPart, len(e.data))]
	return reply, nil
}

// find returns the newest encoding that fits, nil if there is none.
func (s *documents) find(fits func(*encoding) bool) *encoding {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range slices.Backward(s.encodings) {
		if fits(e) {
			return e
		}
	}
	return nil
}

// findBase returns the base with a digest, an empty one if it is not kept.
func (s *documents) findBase(digest uint64) base {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(s.bases, func(b base) bool { return b.digest == digest }); i >= 0 {
		return s.bases[i]
	}
	return base{}
}

// encode returns the encoding of a document for a host that holds the document with the
// digest held.
func (s *documents) encode(d *desired.Document, held uint64) (*encoding, error) {
	s.encodeMu.Lock()
	defer s.encodeMu.Unlock()
	s.add(d.Body)
	digest, from := delta.Digest(d.Body), s.findBase(held)
	if e := s.find(func(e *encoding) bool { return e.reply.Digest == digest && e.reply.Base == from.digest }); e != nil {
		return e, nil
	}
	data, err := delta.Encode(from.body, d.Body)
	if err != nil {
		return nil, err
	}
	e := &encoding{data: data, reply: fleet.DocumentReply{Version: d.Version, Digest: digest, Size: len(d.Body),
		Base: from.digest, Transfer: max(xxhash.Sum64(data), 1), Total: len(data)}}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.encodings = append(s.encodings, e)
	s.encodings = dropOldest(s.encodings, maxEncodings, maxEncodingBytes, func(e *encoding) int { return len(e.data) })
	return e, nil
}

// handleDocument returns a part of the newest document.
func (n *Node) handleDocument(_ context.Context, _ string, req fleet.DocumentRequest) (fleet.DocumentReply, error) {
	state, _ := n.machine.State()
	if state.Document.Version == 0 {
		return fleet.DocumentReply{}, nil
	}
	reply, err := n.documents.part(&state.Document, req)
	if err == nil {
		n.count("documents.parts")
	}
	return reply, err
}
