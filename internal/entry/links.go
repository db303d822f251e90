package entry

import (
	"context"

	"github.com/hornbeamstack/hornbeamstack/pkg/traffic"
)

// Links limits the traffic with other regions to this host's share of each link.
type Links interface {
	// Wait blocks until the bytes may cross the link; they count as sent or
	// received from then on.
	Wait(ctx context.Context, otherRegion string, d traffic.Direction, c traffic.Class, bytes int) error
}

// Chunker is implemented by Links that stay within their share over short
// intervals only if each call of Wait is for few bytes.
type Chunker interface {
	// Chunk returns the largest number of bytes to pass to one Wait.
	Chunk(otherRegion string, d traffic.Direction) int
}
