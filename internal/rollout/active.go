package rollout

import "github.com/hornbeamstack/hornbeamstack/pkg/bundle"

// ActiveVersion is the version in force on a host. It is never changed.
type ActiveVersion struct {
	Bundle  *bundle.Bundle
	Version uint64
	Root    bundle.Digest
}
