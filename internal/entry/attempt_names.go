package entry

import (
	"strconv"
	"sync/atomic"
	"time"
)

// attemptNames generates names of attempts that are unique across hosts and restarts.
type attemptNames struct {
	prefix string
	next   atomic.Uint64
}

func newAttemptNames(host string, start time.Time) *attemptNames {
	return &attemptNames{prefix: host + "-" + strconv.FormatInt(start.UnixNano(), 36) + "-"}
}

func (n *attemptNames) name() string { return n.prefix + strconv.FormatUint(n.next.Add(1), 36) }
