package rollout

import "github.com/hornbeamstack/hornbeamstack/pkg/bundle"

// ActiveVersion is the bundle version in force on a host. It is immutable.
type ActiveVersion struct {
	Bundle  *bundle.Bundle
	Version uint64
	Root    bundle.Digest
}
