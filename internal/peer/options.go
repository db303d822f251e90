package peer

import (
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	// maxMessageBytes admits a bundle snapshot with 640,000 caller blocks.
	maxMessageBytes = 128 << 20
	// dialTimeout bounds connection set-up to a host that does not answer.
	dialTimeout = time.Second
	// sendQueueLength bounds messages that wait for a slow or silent peer.
	sendQueueLength = 1024
	// silenceLimit is how long a connection may stay silent while calls on it
	// time out before it is replaced; TCP alone would keep it for minutes.
	silenceLimit = time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}
