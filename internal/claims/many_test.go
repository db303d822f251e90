package claims

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// recordingTarget is a target that counts how often each key ran.
type recordingTarget struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *recordingTarget) run(key, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key] = append(l.runs[key], by)
}

// TestManyCallers guards against a second run and a wrong answer when the same
// keys are sent concurrently through several entry hosts, messages are lost, and
// a store loses its disk.
func TestManyCallers(t *testing.T) {
	Convey("Given three stores and four entry hosts with lossy connections", t, func() {
		c := startCluster(t, 3)
		ctx := testContext(t)
		var keys []string
		for range 60 {
			keys = append(keys, newKey())
		}
		target := &recordingTarget{runs: map[string][]string{}}
		wrong := make(chan string, 10_000)
		// submit handles one request as an entry host does; fate selects what happens after the claim.
		submit := func(cl *Client, key, by string, fate int) {
			h, got, err := cl.BeginResend(ctx, "bookings", key)
			switch {
			case err != nil:
			case got != nil:
				target.mu.Lock()
				if r := target.runs[key]; len(r) != 1 || r[0] != string(got.Body) {
					wrong <- fmt.Sprintf("answer %q for key %s with runs %v", got.Body, key, r)
				}
				target.mu.Unlock()
			case fate == 0:
				h.Release()
			case fate == 1:
				target.run(key, by)
				h.Unknown()
			default:
				target.run(key, by)
				h.Finish(answer(by))
			}
		}
		var wg sync.WaitGroup
		for host := range 4 {
			name := fmt.Sprint("entry-", host)
			cl, net := c.local(name)
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(20261204, uint64(host)))
			draw := func(n int) int { mu.Lock(); defer mu.Unlock(); return random.IntN(n) }
			lose := func(string) error {
				if draw(8) == 0 {
					return errLost
				}
				return nil
			}
			net.before, net.after = lose, lose
			wg.Go(func() {
				for range 150 {
					submit(cl, keys[draw(len(keys))], name, draw(6))
				}
			})
		}
		c.nodes[0].stop()
		c.restart(0, true)
		wg.Wait()
		c.awaitReady(0)

		Convey("no key has run twice and every replayed answer is the one of the run", func() {
			So(len(wrong), ShouldEqual, 0)
			So(len(target.runs), ShouldBeGreaterThan, 0)
			for _, by := range target.runs {
				So(len(by), ShouldEqual, 1)
			}
		})
	})
}
