// Package peer transports messages between the processes of the system.
//
// A client keeps one TCP connection with one long-lived drpc stream to each
// address. Calls are multiplexed on that stream by an identifier, because drpc runs
// one RPC at a time on a connection and a call that waits for a slot must not delay
// others. Messages are encoded as CBOR maps with integer keys.
package peer
