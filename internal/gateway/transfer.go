package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/internal/peer"
	"github.com/hornbeamstack/hornbeamstack/internal/wait"
	"github.com/hornbeamstack/hornbeamstack/pkg/delta"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

const (
	// partTimeout bounds the fetch of one part of a document.
	partTimeout = 2 * time.Second
	// fetchRetryPause is the pause after a part could not be fetched.
	fetchRetryPause = 50 * time.Millisecond
	// documentLinkShare is the fraction of this host's link that a document may use, so
	// that answers to callers go on beside it.
	documentLinkShare = 0.4
	// maxLinkShare is the fraction of the link that a document uses at most to arrive
	// within documentTarget.
	maxLinkShare = 0.8
	// documentTarget is the part of the time in which a policy has to be in force that
	// its transfer may take.
	documentTarget = 0.5
	// maxDocument limits the size of a document, in bytes.
	maxDocument = 64 << 20
)

// transfer is the part of an encoded document that has arrived.
type transfer struct {
	head fleet.DocumentReply // of the first part
	data []byte
}

// documentFetcher fetches policy documents from one control host at a time, part by
// part. A transfer that one control host began is continued at another one.
type documentFetcher struct {
	watch   *watch
	wake    chan struct{} // holds a value if a newer version was offered
	body    []byte        // last document fetched, nil before the first one
	digest  uint64        // of body; 0 asks for a whole document
	current transfer
	begun   time.Duration // when the fetch of the newest version began
}

func newDocumentFetcher(w *watch) *documentFetcher {
	return &documentFetcher{watch: w, wake: make(chan struct{}, 1)}
}

// offered makes the fetcher look for a newer version.
func (f *documentFetcher) offered() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run fetches each offered version until ctx ends.
func (f *documentFetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		f.begun = f.watch.now()
		for ctx.Err() == nil && f.watch.outdated() {
			if err := f.fetchPart(ctx); err != nil {
				_ = wait.For(ctx, fetchRetryPause) // the loop condition checks ctx
			}
		}
	}
}

// errNoSource is returned while no control host has offered the newest version.
var errNoSource = errors.New("no control host offers the newest policy")

// fetchPart fetches the next part of the document, and puts the policy in force once
// all parts have arrived.
func (f *documentFetcher) fetchPart(ctx context.Context) error {
	w := f.watch
	source := w.documentSource()
	if source == "" {
		return errNoSource
	}
	started := w.now()
	call, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	reply, err := peer.Call[fleet.DocumentRequest, fleet.DocumentReply](call, w.config.Client, source, fleet.MethodDocument,
		fleet.DocumentRequest{Base: f.digest, Transfer: f.current.head.Transfer, Offset: len(f.current.data)})
	if err == nil {
		err = f.add(&reply)
	}
	if err != nil {
		w.documentFailed(source, err)
		return err
	}
	if len(f.current.data) < f.current.head.Total {
		return f.pace(ctx, len(reply.Part), w.now()-started)
	}
	return f.finish(source)
}

// add appends a part to the transfer. A part of another transfer begins a new one.
func (f *documentFetcher) add(reply *fleet.DocumentReply) error {
	if held, _ := f.watch.view.versions(); reply.Version <= held {
		return fmt.Errorf("document has version %d, %d is in force", reply.Version, held)
	}
	if reply.Total <= 0 || reply.Total > maxDocument || reply.Size > maxDocument {
		return fmt.Errorf("document of version %d has %d of %d bytes", reply.Version, reply.Total, reply.Size)
	}
	if reply.Transfer != f.current.head.Transfer || reply.Base != f.current.head.Base {
		f.current = transfer{head: *reply}
		f.current.head.Part = nil
	}
	if reply.Offset != len(f.current.data) || len(reply.Part) == 0 || len(f.current.data)+len(reply.Part) > reply.Total {
		f.current = transfer{}
		return fmt.Errorf("part at %d of %d bytes does not continue the transfer", reply.Offset, reply.Total)
	}
	f.current.data = append(f.current.data, reply.Part...)
	return nil
}

// pace waits after a part of size bytes that took a time to arrive, so that the transfer
// leaves callers their share of the link.
func (f *documentFetcher) pace(ctx context.Context, size int, took time.Duration) error {
	rate := f.rate(f.current.head.Total)
	if rate <= 0 {
		return nil
	}
	return wait.For(ctx, max(0, time.Duration(float64(size)/rate*float64(time.Second))-took))
}

// rate returns the bytes a second at which a document of total bytes is fetched, 0 for
// no limit. Without any policy no caller is served, so that nothing has to be spared.
func (f *documentFetcher) rate(total int) float64 {
	link := f.watch.config.LinkRate
	if link <= 0 || f.body == nil {
		return 0
	}
	needed := 0.0
	if limit := f.watch.config.ApplyLimit.Seconds() * documentTarget; limit > 0 {
		needed = float64(total) / limit
	}
	return min(max(documentLinkShare*link, needed), maxLinkShare*link)
}

// finish decodes the document and puts its policy in force. If that fails, the whole
// document is fetched.
func (f *documentFetcher) finish(source string) error {
	w, done := f.watch, f.current
	f.current = transfer{}
	var held []byte
	if done.head.Base != 0 {
		held = f.body
	}
	document, err := delta.Decode(held, done.data, done.head.Size, done.head.Digest)
	if err != nil {
		f.digest = 0 // asks for the whole document
		w.documentFailed(source, err)
		return err
	}
	p, found := w.config.Decode(document)
	if err := found.Err(); err != nil {
		w.config.Log.Error("policy cannot be read", "version", done.head.Version, "err", err)
		w.rejectDocument(done.head.Version)
		return nil
	}
	f.body, f.digest = document, done.head.Digest
	f.putInForce(p, &done, source)
	return nil
}

// putInForce puts a fetched policy in force and logs it.
func (f *documentFetcher) putInForce(p *policy.Policy, done *transfer, source string) {
	w := f.watch
	took := w.now() - f.begun
	if !w.view.setPolicy(p) {
		return
	}
	w.meters.time("policy.fetch_ms", took)
	if lag := w.policyLag(p.Version); lag > 0 {
		w.meters.time("policy.lag_ms", lag)
	}
	w.config.Log.Info("policy in force", "version", p.Version, "routes", len(p.Routes), "control", source,
		"bytes", len(done.data), "size", done.head.Size, "whole", done.head.Base == 0, "fetched_in", took)
	if limit := w.config.ApplyLimit; limit > 0 && took > limit {
		w.meters.count("policy.fetched_late")
		w.config.Log.Warn("policy arrived late", "version", p.Version, "after", took, "limit", limit, "bytes", len(done.data))
	}
}
