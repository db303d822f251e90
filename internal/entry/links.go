package entry

import (
	"context"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Links limits the bytes to and from other regions.
type Links interface {
	// Wait returns once the bytes may cross; they count as sent or received from then on.
	Wait(ctx context.Context, otherRegion string, d traffic.Direction, c traffic.Class, bytes int) error
}
