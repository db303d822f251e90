package replica

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hornbeamstack/hornbeamstack/pkg/wal/memfs"
)

// call is a write of a value, or a read if the value is empty.
type call struct{ value string }

// register models the last applied command as a single register.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if value := in.(call).value; value != "" {
			return true, value
		}
		return out.(string) == state.(string), state
	},
}

// recorder collects the calls of all goroutines that run client.
type recorder struct {
	mu           sync.Mutex
	start        time.Time
	calls        []porcupine.Operation
	undetermined []int // indexes of the calls with unknown result
}

func (r *recorder) add(op porcupine.Operation, unknown bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if unknown {
		r.undetermined = append(r.undetermined, len(r.calls))
	}
	r.calls = append(r.calls, op)
}

// client alternates reads and writes at random hosts until ctx ends. It records
// reads that succeed and writes that may have been accepted.
func (r *recorder) client(ctx context.Context, c *cluster, groups func() []*host, id int) {
	random := rand.New(rand.NewPCG(uint64(id), 0))
	for i := 0; ctx.Err() == nil; i++ {
		hosts := groups()
		h := hosts[random.IntN(len(hosts))]
		g, machine := h.group, h.machine
		op := porcupine.Operation{ClientId: id, Call: int64(time.Since(r.start)), Output: ""}
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		if i%2 == 0 {
			op.Input = call{}
			if err := g.Read(attempt); err == nil {
				if list := machine.list(); len(list) > 0 {
					op.Output = list[len(list)-1]
				}
				op.Return = int64(time.Since(r.start))
				r.add(op, false)
			}
		} else {
			value := fmt.Sprintf("%d.%d", id, i)
			op.Input = call{value: value}
			_, err := g.Propose(attempt, []byte(value))
			op.Return = int64(time.Since(r.start))
			var unknown *UnknownResultError
			if err == nil || errors.As(err, &unknown) {
				r.add(op, err != nil)
			}
		}
		cancel()
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
}

// TestLinearizable guards against stale reads and against writes that take effect
// although they were reported as not accepted, while hosts restart and lose their
// disks.
func TestLinearizable(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	ctx := testContext(t)
	disks := c.useMemoryDisks()
	c.startAll()
	c.propose(ctx, "first")
	r := &recorder{start: time.Now()}
	r.add(porcupine.Operation{ClientId: 99, Input: call{"first"}, Output: "", Call: -2, Return: -1}, false)

	var mu sync.Mutex // guards the hosts' fields against the restarts
	running := func() []*host {
		mu.Lock()
		defer mu.Unlock()
		var up []*host
		for _, h := range c.hosts {
			if h.group != nil {
				up = append(up, &host{group: h.group, machine: h.machine})
			}
		}
		return up
	}
	clients, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for id := range 4 {
		wg.Go(func() { r.client(clients, c, running, id) })
	}
	random := rand.New(rand.NewPCG(20261204, 1))
	for i := range 6 {
		name := c.members[random.IntN(3)].Name
		mu.Lock()
		c.stop(name)
		if i%2 == 0 {
			disks[name].Restart(random.IntN)
		} else {
			disks[name] = memfs.New()
			c.files[name] = disks[name]
		}
		mu.Unlock()
		time.Sleep(300 * time.Millisecond) // the clients go on without the host
		mu.Lock()
		c.start(name)
		mu.Unlock()
		c.waitFor(ctx, name+" is repaired", func() bool { l := c.leader(); return l != nil && c.seesVoter(l.name, name) && c.seesVoter(name, name) })
	}
	stop()
	wg.Wait()
	end := int64(time.Since(r.start))
	for _, i := range r.undetermined {
		r.calls[i].Return = end // the write may take effect at any later time
	}
	t.Logf("%d calls, %d of them with unknown result", len(r.calls), len(r.undetermined))
	if result := porcupine.CheckOperationsTimeout(register, r.calls, 30*time.Second); result != porcupine.Ok {
		t.Fatalf("recorded history of %d calls is not linearizable, or the check timed out: %s", len(r.calls), result)
	}
}
