package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scripts["15"] = lateReaders }

const (
	graceS     = 6 * time.Second // as in the settings of the deployment
	uploadSize = 512 << 10       // bytes
	lateRead   = 1500 * time.Millisecond
	patience   = 4 * time.Second // of a caller; the route's timeout is as long
)

// lateReaders stops an edge while callers upload through it to servers that open their books for
// 1.5 s before they read the body. It reports whether the edge broke off a request, at which a
// server was at work, after its SIGTERM.
func lateReaders(r *recorder, trouble bool) (bool, error) {
	d, err := newDeployment(3, 1)
	if err != nil {
		return false, err
	}
	defer d.stopAll()
	if err := d.startAll(desiredState(1, []route{{"book", "unsafe", "/book/", "desk", patience.Seconds()}}, "desk")); err != nil {
		return false, err
	}
	var servers []*server
	for i := range 6 {
		s, err := newServer(d, i, "desk", 3, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer s.stop()
		s.readsLate = lateRead // nothing is sent to it before the entry hosts know it
		servers = append(servers, s)
	}
	time.Sleep(5 * time.Second) // the servers are known everywhere by then, and ContactS has passed
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	uploads := &uploadLog{}
	var wg sync.WaitGroup
	client := newCaller(4)
	for i := range 4 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := newID()
				body := make([]byte, uploadSize)
				fillBody(body, id)
				begun := time.Now()
				uploads.add(begun, send(client, d.edges[0], "POST", fmt.Sprintf("/book/%d-%d", i, n), body, id, patience))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	stopped := time.Time{}
	if trouble {
		stopped = time.Now()
		if err := d.edges[0].command.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		r.note("SIGTERM to %s", d.edges[0].name)
	}
	wg.Wait()
	return uploads.brokenOff(r, servers, stopped), nil
}

// upload is an upload of a caller.
type upload struct {
	sent
	begun time.Time
}

// uploadLog collects uploads. It is safe for concurrent use.
type uploadLog struct {
	mu   sync.Mutex
	list []upload
}

func (l *uploadLog) add(begun time.Time, s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, upload{s, begun})
}

// brokenOff writes all uploads to the record. It reports whether one that was broken off after the
// SIGTERM at stopped, which is zero if there was none, counts as lost.
func (l *uploadLog) brokenOff(r *recorder, servers []*server, stopped time.Time) bool {
	lost, others := 0, 0
	for _, u := range l.list {
		ended := u.begun.Add(u.after)
		work, by := startOfWork(servers, u.id)
		r.write("caller sent %s %s of %d bytes, was answered %d (signed: %v) after %d ms; the last byte left after %d ms; server %q began after %d ms", u.path, u.id, uploadSize,
			u.status, u.signed, u.after.Milliseconds(), u.whole.Milliseconds(), by, work.Sub(u.begun).Milliseconds())
		if u.signed || u.whole == 0 || work.IsZero() || u.after >= patience-100*time.Millisecond || ended.Sub(work) >= lateRead {
			continue // answered, not whole, not passed on, its time was over, or the server may have ended it
		}
		// A server that was at work in the last sixth of GraceS excuses the edge.
		if stopped.IsZero() || ended.Before(stopped) || ended.After(stopped.Add(graceS*5/6)) {
			others++
			continue
		}
		lost++
		r.note("upload %s was ended with status %d, %d ms after the SIGTERM, while %s was at work on it for %d ms", u.id, u.status,
			ended.Sub(stopped).Milliseconds(), by, ended.Sub(work).Milliseconds())
	}
	r.note("uploads broken off after the SIGTERM: %d; at other times, which the rule doesn't count: %d; in all: %d", lost, others, len(l.list))
	return lost > 0
}

// startOfWork returns when and where the work on a request began.
func startOfWork(servers []*server, id string) (at time.Time, server string) {
	for _, s := range servers {
		s.mu.Lock()
		begun, ok := s.begun[id]
		s.mu.Unlock()
		if ok {
			return begun, s.id
		}
	}
	return time.Time{}, ""
}
