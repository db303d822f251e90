package core

import (
	"net"
	"path/filepath"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/replica"
)

// removeAfter is how long a control host may stay silent before the group removes it as
// a member, if enough others stay. Restarts and short outages are shorter.
const removeAfter = 10 * time.Second

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
