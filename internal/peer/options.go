package peer

import (
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	// maxMessageBytes bounds the size of a message. A bundle snapshot with 640,000
	// caller blocks fits.
	maxMessageBytes = 128 << 20
	// dialTimeout bounds connection set-up to an unresponsive host.
	dialTimeout = time.Second
	// sendQueueLength and sendQueueBytes limit the messages that wait for a slow
	// or unresponsive peer.
	sendQueueLength = 1024
	sendQueueBytes  = 16 << 20
	// silenceLimit is how long a call must have waited, with nothing received on
	// the connection meanwhile, for its timeout to close the connection. TCP alone
	// would keep a dead connection for minutes.
	silenceLimit = time.Second
)

// managerOptions returns the drpc options of both sides of a connection.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}
