package gateway

import (
	"runtime"
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/nettest"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// Guards against a faulty target whose bytes without end, in the head or the framing of an
// answer, fill the memory of the entry host or reach callers as a whole answer (issue 28,
// first report).
func TestFramingWithoutEnd(t *testing.T) {
	const (
		chunked   = "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"
		maxGrowth = 16 << 20 // bytes of heap; the targets send four times as much
	)
	var before, after runtime.MemStats
	for _, via := range []string{"direct", "relay"} {
		for name, c := range map[string]struct{ start, part string }{
			"no answer":       {"", "\x00\xffgarbage"},
			"one header":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
			"chunk size":      {chunked, "0"},
			"chunk extension": {chunked + "1;", "x"},
			"trailer":         {chunked + "0\r\n", "X: x\r\n"},
			"refusal":         {"HTTP/1.1 503 X\r\nId: {id}\r\nNot-Run: 1\r\n\r\n", "x"},
			"stray answer":    {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1000000000\r\n\r\n", "x"},
		} {
			for _, kind := range []policy.Kind{policy.Safe, policy.Unsafe, policy.Download} {
				t.Run(via+" "+name+" "+kind.String(), func(t *testing.T) {
					f := newFixture(t)
					target, taken := nettest.StartEndless(t, c.start, c.part)
					f.gateway.view.targets.Apply(f.gateway.now(), roster.Report{Announcement: roster.Announcement{
						Name: "t0", Life: 1, Sequence: 1, Service: "s", Address: target.Address(), Zone: "z1", Slots: 4}})
					f.setTimeouts(200 * time.Millisecond)
					if via == "relay" {
						f.relayAt(startRelay(t, true))
					}
					runtime.GC()
					runtime.ReadMemStats(&before)
					if status, body, whole := f.tryRequest(kind, "1"); whole && status == 200 {
						t.Errorf("a whole answer of %d bytes reached the caller", len(body))
					}
					if n := <-taken; n >= nettest.EndlessBytes && name != "stray answer" { // that one is skipped until the deadline
						t.Errorf("%d bytes were taken, want fewer: the connection must be closed", n)
					}
					runtime.GC()
					runtime.ReadMemStats(&after)
					if after.HeapAlloc > before.HeapAlloc+maxGrowth {
						t.Errorf("the heap has grown by %d bytes", after.HeapAlloc-before.HeapAlloc)
					}
				})
			}
		}
	}
}
