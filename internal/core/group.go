package core

import (
	"context"
	"net"
	"path/filepath"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/replica"
	"github.com/hornbeamstack/hornbeamstack/internal/wait"
)

const (
	// removeAfter is how long a control host may stay silent before the group
	// removes it as a member, if enough others stay. Restarts and short outages are
	// shorter.
	removeAfter = 10 * time.Second
	// reopenInterval is the pause before a failed group is restarted.
	reopenInterval     = time.Second
	groupCheckInterval = 200 * time.Millisecond
)

// runGroup runs this host's member of the agreement group until ctx ends. A member
// that fails, as on a failed disk write, is restarted from the data on disk.
func (n *Node) runGroup(ctx context.Context) {
	for ctx.Err() == nil {
		g, err := replica.Start(n.groupConfig())
		if err != nil {
			n.config.Log.Error("agreement cannot start", "err", err)
			_ = wait.For(ctx, reopenInterval) // the loops check ctx themselves
			continue
		}
		n.setGroup(g)
		for ctx.Err() == nil && g.Status().Err == nil {
			_ = wait.For(ctx, groupCheckInterval)
		}
		n.setGroup(nil)
		g.Stop()
		_ = wait.For(ctx, reopenInterval)
	}
}

func (n *Node) setGroup(g *replica.Group) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.group = g
}

func (n *Node) groupConfig() replica.Config {
	var members []replica.Member
	listed := false
	for _, seed := range n.config.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			n.config.Log.Warn("seed is not an IP:port address", "seed", seed, "err", err)
			continue
		}
		members = append(members, replica.Member{Name: host, Peer: seed})
		listed = listed || host == n.config.Name
	}
	return replica.Config{
		Host: n.config.Name, Peer: n.config.Peer, Folder: filepath.Join(n.config.Folder, "agree"), Members: members,
		AllowJoin: true, SilentAfter: removeAfter, ToleratedLosses: n.config.ToleratedLosses,
		NoBootstrap: !n.config.Founding || !listed,
		Server:      n.config.Server, Client: n.config.Client, Machine: n.machine, Log: n.config.Log,
	}
}
