package measure

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	sampleInterval = 5 * time.Millisecond // time between two samples
	// capWindow is the window over which the use of a link must stay below its cap.
	capWindow = 100 * time.Millisecond
)

// byteCounter counts the payload bytes sent from targets to entry hosts: those that
// the receiving TCP stack has acknowledged, whether or not they have been read from
// its receive buffer.
type byteCounter struct {
	mu      sync.Mutex
	conns   map[*net.TCPConn]uint64 // bytes acknowledged at the last sample
	closed  uint64                  // bytes of closed connections
	samples []sample
}

// sample is the total number of bytes at a point in time.
type sample struct {
	at    time.Time
	bytes uint64
}

// newByteCounter returns a counter without connections; run has to be started.
func newByteCounter() *byteCounter { return &byteCounter{conns: map[*net.TCPConn]uint64{}} }

// wrap returns a listener whose accepted connections are counted.
func (w *byteCounter) wrap(l net.Listener) net.Listener { return &countingListener{l, w} }

// countingListener registers accepted TCP connections with a byteCounter.
type countingListener struct {
	net.Listener
	byteCounter *byteCounter
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		l.byteCounter.mu.Lock()
		l.byteCounter.conns[tcp] = 0
		l.byteCounter.mu.Unlock()
	}
	return c, err
}

// run takes a sample every sampleInterval until ctx ends.
func (w *byteCounter) run(ctx context.Context) {
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.sample()
		}
	}
}

// sample reads the counters of all connections, drops closed connections and records
// the total.
func (w *byteCounter) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := w.closed
	for c, last := range w.conns {
		acked, ok := bytesAcked(c)
		if !ok {
			w.closed += last
			sum += last
			delete(w.conns, c)
			continue
		}
		w.conns[c] = acked
		sum += acked
	}
	w.samples = append(w.samples, sample{time.Now(), sum})
}

// bytesAcked returns the bytes that the peer has acknowledged; ok is false once the
// connection is closed.
func bytesAcked(c *net.TCPConn) (acked uint64, ok bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			acked, ok = info.Bytes_acked, true
		}
	})
	return acked, ok && err == nil
}

// between returns the mean rate between two points in time and the highest rate over
// capWindow, both in bytes per second.
func (w *byteCounter) between(from, to time.Time) (mean, peak float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var in []sample
	for _, s := range w.samples {
		if !s.at.Before(from) && !s.at.After(to) {
			in = append(in, s)
		}
	}
	if len(in) < 2 {
		return 0, 0
	}
	first, last := in[0], in[len(in)-1]
	mean = float64(last.bytes-first.bytes) / last.at.Sub(first.at).Seconds()
	start := 0
	for _, s := range in {
		for s.at.Sub(in[start].at) > capWindow {
			start++
		}
		peak = max(peak, float64(s.bytes-in[start].bytes)/capWindow.Seconds())
	}
	return mean, peak
}
