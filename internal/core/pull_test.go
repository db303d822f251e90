package core

import (
	"testing"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/fleet"
)

// Guards against a control host without contact to a majority that holds the pulls of entry
// hosts until their end, while these could ask others (riagain-ceili-large, trouble-3).
func TestPullIsAnsweredAtOnceWithoutContact(t *testing.T) {
	c := newCluster(t, 3)
	c.put(0, 3)
	c.hosts[0].stop()
	c.hosts[1].stop()
	eventually(func() bool { return !c.hosts[2].node.fresh() })
	pull := func() fleet.PullReply {
		reply, err := c.hosts[2].node.pull(t.Context(), "e", fleet.PullRequest{Version: 3, Wait: time.Hour})
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	first := pull()
	if again := pull(); first.Fresh || again.Fresh {
		t.Errorf("the host claims contact to a majority: %v, %v", first.Fresh, again.Fresh)
	}
	c.hosts[0].start(t, c.seeds, false)
	c.hosts[1].start(t, c.seeds, false)
}
