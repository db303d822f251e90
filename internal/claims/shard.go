package claims

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// shardCount spreads the keys so that concurrent votes seldom meet at one lock.
const shardCount = 64

// shard is the part of the store that holds the keys of one hash value.
type shard struct {
	mu    sync.Mutex
	store *claim.Store
	// last is the index of the latest record of this shard. Replies that
	// repeat an earlier grant wait for it, since that grant may not be on disk yet.
	last uint64
}

func shardOf(k claim.Key) int {
	h := xxhash.Sum64(k.ID[:]) ^ xxhash.Sum64String(k.Service)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], h)
	return int(xxhash.Sum64(b[:]) % shardCount)
}
