package core

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/delta"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// document returns a document with n routes whose names are random.
func document(version policy.Version, n int) *desired.Document {
	random := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Version":"%08x","Rules":[`, version)
	for range n {
		fmt.Fprintf(&b, `{"Name":"r-%07x","Kind":"safe","TargetLatencyS":0.6,"Priority":2,"Sticky":true,"Match":{"PathPrefix":"/p%08x/"},`+
			`"Action":{"Service":"s","TimeoutS":1.2,"MaxAttempts":2,"AllowedRegions":[]}},`, random.Uint32()>>4, random.Uint32())
	}
	return &desired.Document{Version: version, Body: b.Bytes()}
}

// fetch fetches a document in parts and returns the replies.
func fetch(t *testing.T, s *documents, newest *desired.Document, held []byte) []fleet.DocumentReply {
	t.Helper()
	req := fleet.DocumentRequest{}
	if held != nil {
		req.Base = delta.Digest(held)
	}
	var replies []fleet.DocumentReply
	for {
		reply, err := s.part(newest, req)
		if err != nil {
			t.Fatal(err)
		}
		if reply.Offset != req.Offset || len(reply.Part) == 0 || len(reply.Part) > documentPart {
			t.Fatalf("part of %d bytes at %d, want one at %d", len(reply.Part), reply.Offset, req.Offset)
		}
		replies = append(replies, reply)
		req.Transfer, req.Offset = reply.Transfer, reply.Offset+len(reply.Part)
		if req.Offset == reply.Total {
			return replies
		}
	}
}

// join returns the document that replies carry.
func join(t *testing.T, held []byte, replies []fleet.DocumentReply) []byte {
	t.Helper()
	var data []byte
	for _, r := range replies {
		data = append(data, r.Part...)
	}
	if replies[0].Base == 0 {
		held = nil
	}
	body, err := delta.Decode(held, data, replies[0].Size, replies[0].Digest)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// A policy that grows by many routes must not fill the thin links of entry hosts, and a
// host that holds another document than expected must get the whole.
func TestDocumentParts(t *testing.T) {
	small, large, next := document(1, 5), document(2, 1393), document(3, 1394)
	foreign := []byte("a document that the control host has never seen")
	for _, test := range []struct {
		name    string
		held    []byte
		newest  *desired.Document
		limit   int // of the bytes sent
		isWhole bool
	}{
		{"nothing held", nil, large, len(large.Body) / 8, true},
		{"many routes more", small.Body, large, len(large.Body) / 8, false},
		{"one route more", large.Body, next, 1024, false},
		{"unknown document held", foreign, next, len(next.Body) / 8, true},
	} {
		s := &documents{}
		for _, d := range []*desired.Document{small, large, next} {
			s.add(d.Body)
		}
		replies := fetch(t, s, test.newest, test.held)
		if !bytes.Equal(join(t, test.held, replies), test.newest.Body) {
			t.Errorf("%s: the document changed on the way", test.name)
		}
		if got := replies[0]; got.Total > test.limit || (got.Base == 0) != test.isWhole || got.Version != test.newest.Version {
			t.Errorf("%s: %d bytes, base %x, version %d; want at most %d", test.name, got.Total, got.Base, got.Version, test.limit)
		}
	}
}

// While policies change faster than one can be sent, a transfer that began must end,
// also at a control host that has a newer policy already.
func TestTransferContinues(t *testing.T) {
	s := &documents{}
	older, newer := document(1, 3000), document(2, 3001)
	first, err := s.part(older, fleet.DocumentRequest{})
	if err != nil {
		t.Fatal(err)
	}
	second, err := s.part(newer, fleet.DocumentRequest{Transfer: first.Transfer, Offset: len(first.Part)})
	if err != nil || second.Transfer != first.Transfer || second.Version != 1 || second.Offset != len(first.Part) {
		t.Errorf("the transfer is continued with %+v, error %v", second.Transfer, err)
	}
	for _, offset := range []int{-1, first.Total + 1} {
		if r, err := s.part(newer, fleet.DocumentRequest{Transfer: first.Transfer, Offset: offset}); err != nil || r.Offset != 0 || r.Version != 2 {
			t.Errorf("offset %d is answered by version %d at %d, error %v; want the newest from its start", offset, r.Version, r.Offset, err)
		}
	}
}

// A long series of changes must not fill the memory of a control host.
func TestDocumentsAreBounded(t *testing.T) {
	s := &documents{}
	for v := range 3 * maxBases {
		d := document(policy.Version(v+1), 20)
		if _, err := s.part(d, fleet.DocumentRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.bases) > maxBases || len(s.encodings) > maxEncodings {
		t.Errorf("%d bases and %d encodings are held", len(s.bases), len(s.encodings))
	}
	large := [][]byte{make([]byte, maxBaseBytes), make([]byte, maxBaseBytes+1)}
	for _, body := range large {
		s.add(body)
	}
	if len(s.bases) != 1 {
		t.Errorf("%d bases are held beside one over the limit, want only that one", len(s.bases))
	}
}
