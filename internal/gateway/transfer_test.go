package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/pkg/delta"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// testPart is the size of the parts of a fake source, in bytes.
const testPart = 4

// source is a fake control host that offers a document and sends it in parts.
type source struct {
	address  string
	mu       sync.Mutex
	version  policy.Version
	document []byte
	asked    []fleet.DocumentRequest
	parts    int // number of parts after which it fails, -1 for never
	damaged  bool
}

func startSource(t *testing.T, version policy.Version, document string, parts int) *source {
	t.Helper()
	l := nettest.Listen(t)
	s := &source{address: l.Addr().String(), version: version, document: []byte(document), parts: parts}
	server := peer.NewServer("control")
	peer.Register(server, fleet.MethodPull, func(context.Context, string, fleet.PullRequest) (fleet.PullReply, error) {
		time.Sleep(5 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		return fleet.PullReply{Fresh: true, Newest: s.version}, nil
	})
	peer.Register(server, fleet.MethodDocument, func(_ context.Context, _ string, req fleet.DocumentRequest) (fleet.DocumentReply, error) {
		return s.part(req)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, l) // returns when ctx ends
	}()
	t.Cleanup(func() { cancel(); <-done })
	return s
}

var errSource = errors.New("the source fails")

func (s *source) part(req fleet.DocumentRequest) (fleet.DocumentReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts == 0 {
		return fleet.DocumentReply{}, errSource
	}
	s.parts--
	s.asked = append(s.asked, req)
	data, err := delta.Encode(nil, s.document)
	if err != nil {
		return fleet.DocumentReply{}, err
	}
	reply := fleet.DocumentReply{Version: s.version, Digest: delta.Digest(s.document), Size: len(s.document), Transfer: delta.Digest(data), Total: len(data)}
	if req.Transfer == reply.Transfer {
		reply.Offset = req.Offset
	}
	reply.Part = data[reply.Offset:min(reply.Offset+testPart, len(data))]
	if s.damaged {
		reply.Digest++
	}
	return reply, nil
}

// requests returns the requests that were answered.
func (s *source) requests() []fleet.DocumentRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fleet.DocumentRequest(nil), s.asked...)
}

// newFetchingGateway returns an entry host that watches control hosts and decodes the
// text "bad" as an invalid policy, others as one whose version is their length.
func newFetchingGateway(t *testing.T, seeds ...string) *Gateway {
	t.Helper()
	client := peer.NewClient("g")
	t.Cleanup(client.Close)
	g := New(Config{Name: "g", Zone: "z", Region: "r", Seeds: seeds, RetryWindow: time.Second, Client: client, Log: log.New(io.Discard), Codec: fakeCodec{},
		Decode: func(body []byte) (p *policy.Policy, found finding.List) {
			if string(body) == "bad" {
				found.Add("policy", 0, "", "is bad")
				return nil, found
			}
			return &policy.Policy{Version: policy.Version(len(body))}, nil
		}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); g.watch.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return g
}

// awaitVersion waits until a version is in force; the time limit of the test ends the
// wait.
func awaitVersion(g *Gateway, version policy.Version) {
	for {
		if held, _ := g.view.versions(); held >= version {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

const twentyBytes = "a policy of 20 bytes"

// A document must come from one control host at a time: two copies at once would take
// the link of the entry host from its callers. A nearer control host that offers the
// version later may send the rest, so that each part is asked for once in all.
func TestDocumentComesOnce(t *testing.T) {
	a, b := startSource(t, 20, twentyBytes, -1), startSource(t, 20, twentyBytes, -1)
	g := newFetchingGateway(t, a.address, b.address)
	awaitVersion(g, 20)
	data, err := delta.Encode(nil, []byte(twentyBytes))
	if err != nil {
		t.Fatal(err)
	}
	var offsets []int
	for _, r := range append(a.requests(), b.requests()...) {
		offsets = append(offsets, r.Offset)
	}
	slices.Sort(offsets)
	var want []int
	for offset := 0; offset < len(data); offset += testPart {
		want = append(want, offset)
	}
	if !slices.Equal(offsets, want) {
		t.Errorf("the parts at %v were asked for, want each of %v once", offsets, want)
	}
}

// A transfer must go on at another control host with what has arrived.
func TestTransferContinuesAtAnotherSource(t *testing.T) {
	a := startSource(t, 20, twentyBytes, 2)
	g := newFetchingGateway(t, a.address)
	for len(a.requests()) < 2 {
		time.Sleep(time.Millisecond) // bounded by the time limit of the test
	}
	b := startSource(t, 20, twentyBytes, -1)
	g.SetSeeds([]string{b.address})
	awaitVersion(g, 20)
	if first := b.requests()[0]; first.Offset != 2*testPart {
		t.Errorf("the second control host was asked from byte %d, want %d", first.Offset, 2*testPart)
	}
}

// A document that is damaged must never be in force, and one that cannot be read must
// not be fetched again and again.
func TestDocumentsThatCannotBeUsed(t *testing.T) {
	damaged := startSource(t, 20, twentyBytes, -1)
	damaged.damaged = true
	bad := startSource(t, 3, "bad", -1)
	g := newFetchingGateway(t, damaged.address)
	for len(damaged.requests()) < 20 {
		time.Sleep(time.Millisecond) // bounded by the time limit of the test
	}
	if p := g.view.current(); p != nil {
		t.Errorf("version %d is in force although its digest is wrong", p.Version)
	}
	g = newFetchingGateway(t, bad.address)
	for g.watch.outdated() || len(bad.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	asked := len(bad.requests())
	for range 20 {
		g.watch.fetcher.offered()
		time.Sleep(time.Millisecond)
	}
	if n := len(bad.requests()); n != asked {
		t.Errorf("a document that cannot be read was asked for %d times more", n-asked)
	}
}

// A large policy must leave callers most of a thin link, but not arrive late while there
// is room; a host without any policy has no callers to spare.
func TestTransferRate(t *testing.T) {
	const link = 175e3 // bytes a second
	for _, test := range []struct {
		name  string
		link  float64
		limit time.Duration
		total int
		first bool
		want  float64
	}{
		{"small", link, 2 * time.Second, 50e3, false, documentLinkShare * link},
		{"needs more than its share", link, 2 * time.Second, 100e3, false, 100e3},
		{"too large for the limit", link, 2 * time.Second, 1e6, false, maxLinkShare * link},
		{"no limit stated", link, 0, 1e6, false, documentLinkShare * link},
		{"no link rate stated", 0, 2 * time.Second, 1e6, false, 0},
		{"first policy", link, 2 * time.Second, 1e6, true, 0},
	} {
		f := newDocumentFetcher(&watch{config: &Config{LinkRate: test.link, ApplyLimit: test.limit}})
		if !test.first {
			f.body = []byte("held")
		}
		if got := f.rate(test.total); got != test.want {
			t.Errorf("%s: %v bytes a second, want %v", test.name, got, test.want)
		}
	}
}
