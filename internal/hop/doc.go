// Package hop holds what entry hosts and relays share to send a request on to
// a target: the translation of headers, connections that carry one request at a
// time, and a pool of idle ones.
package hop
