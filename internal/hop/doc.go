// Package hop holds the code that entry hosts and relays share to forward a request
// to a target: the codec for headers, connections that carry one request at a time,
// and a pool of idle connections.
package hop
