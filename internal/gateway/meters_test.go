package gateway

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hornbeamstack/hornbeamstack/internal/desired"
	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
	"github.com/hornbeamstack/hornbeamstack/pkg/policy"
)

// Guards against missing metrics of the parts of a request's time: waiting, at the
// target and added by the entry host.
func TestTimesOfARequest(t *testing.T) {
	f := newFixture(t, ok)
	f.do("GET", "/safe/x", "1", "")
	for _, name := range []string{"request.total_ms.safe", "request.waiting_ms.safe", "request.at_target_ms.safe", "request.added_ms.safe"} {
		if h, found := f.gateway.Metrics().Get(name).(metrics.Histogram); !found || h.Count() != 1 {
			t.Errorf("%s was not measured", name)
		}
	}
}

// Guards against a wrong gauge of the remaining retry budget, which would hide that
// it runs out.
func TestBudgetLeft(t *testing.T) {
	f := newFixture(t, ok)
	b := f.gateway.budgets
	if left := b.left(0, 7); left != 10 {
		t.Errorf("%d retries are left at first, want 10", left)
	}
	for range 4 {
		b.take("s", 0, 7)
	}
	if left := b.left(0, 7); left != 6 {
		t.Errorf("%d retries are left after 4, want 6", left)
	}
}

// Guards against a policy's delay that is missing in the metrics. The first policy of
// an entry host does not count, since it may have been in force for long.
func TestPolicyLag(t *testing.T) {
	f := newFixture(t, ok)
	w := f.gateway.watch
	w.config.Decode = func([]byte) (*policy.Policy, finding.List) { return &policy.Policy{Version: 2}, nil }
	w.apply(&controlState{}, &fleet.PullReply{Fresh: true, Document: &desired.Document{Version: 2}, DocumentAge: 70 * time.Millisecond})
	if h, found := f.gateway.Metrics().Get("policy.lag_ms").(metrics.Histogram); !found || h.Max() != 70 {
		t.Error("the time until the policy came into force was not measured")
	}
}
