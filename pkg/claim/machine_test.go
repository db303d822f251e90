package claim

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed default seed, so that every run explores the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.steps": "100", "rapid.checks": "8000"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestHistories guards against a second run, a false refusal and a wrong
// replayed answer under lost, repeated, reordered and delayed messages,
// crashes before and after each sync, lost disks, outdated folders that are put
// back, clock skew, and resends after the lifetime of the key.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.SampledFrom([]int{3, 3, 3, 5}).Draw(t, "stores"))
		w.key = keyAt(w.now.Add(rapid.SampledFrom([]time.Duration{-MaxClockSkew, 0, MaxClockSkew, 3 * MaxClockSkew}).Draw(t, "key")))
		counters := map[string]uint64{}
		store := func() *simStore { return rapid.SampledFrom(w.stores).Draw(t, "store") }
		// attempt calls act with one of the attempts that ok accepts, if there are any.
		attempt := func(t *rapid.T, ok func(*simAttempt) bool, act func(*simAttempt)) {
			var fit []*simAttempt
			for _, a := range w.attempts {
				if ok(a) {
					fit = append(fit, a)
				}
			}
			if len(fit) > 0 {
				act(rapid.SampledFrom(fit).Draw(t, "attempt"))
			}
		}
		// message picks one of the queued messages, and sometimes keeps it in the queue to be delivered again.
		message := func(queue *[]int) int {
			i := rapid.IntRange(0, len(*queue)-1).Draw(t, "message")
			v := (*queue)[i]
			if rapid.IntRange(0, 4).Draw(t, "repeat") > 0 {
				*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
			}
			return v
		}
		vote := func(t *rapid.T) {
			attempt(t, func(a *simAttempt) bool { return len(a.votes) > 0 }, func(a *simAttempt) {
				i := message(&a.votes)
				w.vote(a, i)
				if rapid.Bool().Draw(t, "sync") {
					w.stores[i].sync()
				}
			})
		}
		reply := func(t *rapid.T) {
			attempt(t, func(a *simAttempt) bool { return len(a.replies) > 0 }, func(a *simAttempt) {
				w.reply(a, rapid.SampledFrom(a.replies).Draw(t, "reply"))
			})
		}
		// exchange delivers vote requests to some stores and their replies at once.
		exchange := func(t *rapid.T) {
			attempt(t, func(a *simAttempt) bool { return a.p.Decision() == Waiting && len(a.votes) > 0 }, func(a *simAttempt) {
				for range rapid.IntRange(1, len(w.stores)).Draw(t, "exchanges") {
					if len(a.votes) == 0 {
						return
					}
					i := message(&a.votes)
					w.vote(a, i)
					w.stores[i].sync()
					w.reply(a, a.replies[len(a.replies)-1])
				}
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				host := rapid.SampledFrom([]string{"a", "bb"}).Draw(t, "host")
				if slices.ContainsFunc(w.attempts, func(a *simAttempt) bool { return a.Host == host && !a.ended && a.refused == Waiting }) {
					return // one attempt of a process at a time
				}
				counters[host]++
				w.begin(host, counters[host])
			},
			"vote": vote, "reply": reply,
			"exchange": exchange, "exchange2": exchange, "exchange3": exchange,
			"giveUp": func(t *rapid.T) {
				attempt(t, func(a *simAttempt) bool { return a.p.Decision() == Waiting }, func(a *simAttempt) { w.decided(a, a.p.GiveUp()) })
			},
			"run": func(t *rapid.T) {
				attempt(t, func(a *simAttempt) bool { return a.sent && !a.ended }, w.run)
			},
			"finish": func(t *rapid.T) {
				attempt(t, func(a *simAttempt) bool { return a.sent && !a.ended }, w.finish)
			},
			"shed": func(t *rapid.T) {
				attempt(t, func(a *simAttempt) bool { return a.sent && !a.ended && w.ran != a }, w.release)
			},
			"deliverRelease": func(t *rapid.T) {
				attempt(t, func(a *simAttempt) bool { return len(a.releases) > 0 }, func(a *simAttempt) {
					s := w.stores[message(&a.releases)]
					s.write(s.live.Release(s.time(), ReleaseRequest{Key: w.key, Attempt: a.Attempt}), nil)
				})
			},
			"deliverFinish": func(t *rapid.T) {
				attempt(t, func(a *simAttempt) bool { return len(a.finishes) > 0 }, func(a *simAttempt) {
					s := w.stores[message(&a.finishes)]
					s.write(s.live.Finish(s.time(), FinishRequest{Key: w.key, Attempt: a.Attempt, Answer: a.answer}), nil)
				})
			},
			"sync":  func(t *rapid.T) { store().sync() },
			"crash": func(t *rapid.T) { store().boot() },
			"snapshot": func(t *rapid.T) {
				s := store()
				s.disk.snap, s.disk.changes = s.live.Snapshot(), nil
			},
			"loseDisk": func(t *rapid.T) { store().format() },
			"putBack": func(t *rapid.T) {
				s := store()
				if len(s.old) >= 2 {
					s.disk = rapid.SampledFrom(s.old[1:]).Draw(t, "folder")
					s.boot()
				}
			},
			"join": func(t *rapid.T) { store().join(store(), false) },
			"replace": func(t *rapid.T) {
				s := store()
				s.format()
				w.rejoin(s, store())
			},
			"rejoin": func(t *rapid.T) { w.rejoin(store(), store()) },
			"merge":  func(t *rapid.T) { store().merge() },
			"forget": func(t *rapid.T) { store().forget() },
			"age": func(t *rapid.T) {
				w.now = w.now.Add(Lifetime + 3*MaxClockSkew)
				skip := store()
				for _, s := range w.stores {
					if s != skip {
						s.forget()
					}
				}
			},
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{OwnerTimeout, MaxClockSkew, 3 * MaxClockSkew}).Draw(t, "time"))
			},
			"skew": func(t *rapid.T) {
				store().skew = rapid.SampledFrom([]time.Duration{-MaxClockSkew / 2, 0, MaxClockSkew / 2}).Draw(t, "skew")
			},
			// The clock runs ahead, records are dropped too early, and the clock is corrected.
			"clockAhead": func(t *rapid.T) {
				s := store()
				old := s.skew
				s.skew = 2 * Lifetime
				s.forget()
				s.skew = old
			},
			"": func(t *rapid.T) {
				if w.violation != "" {
					t.Fatal(w.violation)
				}
			},
		})
	})
}
