// Package peer carries messages between the system's own processes.
//
// Each pair of processes shares one TCP connection with one long-lived drpc
// stream. Calls are multiplexed on that stream by an identifier, because drpc
// runs one RPC at a time on a connection and a call that waits for a slot must
// not delay others. Messages are CBOR with integer keys.
package peer
