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

// Chunker is implemented by Links that keep bytes within their share over any
// short time only if they are paid for in small pieces.
type Chunker interface {
	// Chunk returns the largest number of bytes to pass to one Wait.
	Chunk(otherRegion string, d traffic.Direction) int
}
