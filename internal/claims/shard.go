package claims

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hornbeamstack/hornbeamstack/pkg/claim"
)

// shardCount is the number of shards, large enough that concurrent votes rarely
// contend for one lock.
const shardCount = 64

// shard is the part of a store with the keys whose hash maps to it.
type shard struct {
	mu    sync.Mutex
	store *claim.Store
	// last is the log index of the latest change of this shard. Every reply waits
	// for it, because a repeated grant may not be on disk yet.
	last uint64
}

func shardOf(k claim.Key) int {
	h := xxhash.Sum64(k.ID[:]) ^ xxhash.Sum64String(k.Service)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], h)
	return int(xxhash.Sum64(b[:]) % shardCount)
}
