package node

import (
	"context"
	"errors"

	"github.com/hornbeamstack/hornbeamstack/internal/controlapi"
	"github.com/hornbeamstack/hornbeamstack/internal/replica"
)

// group adapts replica.Supervisor to controlapi.Group.
type group struct{ *replica.Supervisor }

func (g group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	reply, err := g.Supervisor.Propose(ctx, command)
	return reply, notLeader(err)
}

func (g group) Read(ctx context.Context) error { return notLeader(g.Supervisor.Read(ctx)) }

func (g group) Leader() string { return g.Status().Leader.Name }

// notLeader converts a replica.NotLeaderError and returns other errors unchanged.
func notLeader(err error) error {
	var e *replica.NotLeaderError
	if errors.As(err, &e) {
		return &controlapi.NotLeaderError{Leader: e.Leader.Name}
	}
	return err
}
