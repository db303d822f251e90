package main

import (
	"context"
	"sync"
	"time"
)

func init() { scripts["11"] = foreignUpload }

const (
	// uploadBytes is the length of an upload. The edge streams bodies over 64 KiB.
	uploadBytes = 66_000
	uploaders   = 80
	edges       = 4
	// readers is the number of users of the archive on an ordinary day. burst of them come at
	// once: 1.7 is the largest dose of the site kll-limits.
	readers = 420
	burst   = 1.7

	uploadWork  = 5 * time.Millisecond
	archiveWork = 3 * time.Second
	burstLength = 95 * time.Second
)

// foreignUpload lets many readers of an archive come at once while others upload bookings. It
// reports whether a server ran an upload with the body of another one.
func foreignUpload(r *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(3, edges)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	routes := []route{{"book", "unsafe", "/book/", "desk", 5}, {"archive", "safe", "/archive/", "archive", 8}}
	if err := d.startAll(desiredState(1, routes, "desk", "archive")); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), burstLength)
	defer cancel()
	var servers []*server
	for i := range 12 {
		service, slots, work := "desk", 60, uploadWork
		if i >= 8 {
			service, slots, work = "archive", 900, archiveWork
		}
		s, err := newServer(d, i, service, slots, work)
		if err != nil {
			return false, err
		}
		defer s.stop()
		s.onRun = func(x run) {
			if x.bytes > 0 && (x.owner != x.id || x.bytes != uploadBytes) {
				cancel()
			}
		}
		servers = append(servers, s)
	}
	time.Sleep(3 * time.Second) // the servers are known everywhere by then
	count := readers
	if trouble {
		count = int(burst * readers)
	}
	answers := newAnswers()
	var wg sync.WaitGroup
	reading, uploading := newCaller(count), newCaller(uploaders)
	for i := range count {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * archiveWork / time.Duration(count))
			for ctx.Err() == nil {
				answers.add(send(reading, d.edges[i%edges], "GET", "/archive/x", nil, newID(), 8*time.Second))
			}
		})
	}
	r.note("%d readers of the archive, %d uploaders", count, uploaders)
	time.Sleep(archiveWork)
	for i := range uploaders {
		wg.Go(func() {
			body := make([]byte, uploadBytes)
			for ctx.Err() == nil {
				id := newID()
				fillBody(body, id)
				answers.add(send(uploading, d.edges[i%edges], "POST", "/book/"+id, body, id, 5*time.Second))
			}
		})
	}
	wg.Wait()
	answers.record(r)
	wrong := 0
	for _, s := range servers {
		for _, x := range s.executed() {
			if x.bytes == 0 {
				continue
			}
			r.write("server %s ran %s %s with %d bytes of %s", s.id, x.path, x.id, x.bytes, x.owner)
			if x.owner != x.id || x.bytes != uploadBytes {
				wrong++
				r.note("server %s ran request %s with the body of request %s (%d bytes)", s.id, x.id, x.owner, x.bytes)
				r.note("the caller of %s was answered %s, the caller of %s was answered %s", x.id, answers.of(x.id), x.owner, answers.of(x.owner))
			}
		}
	}
	r.note("uploads run with a body that their callers had not sent: %d", wrong)
	return wrong > 0, nil
}
