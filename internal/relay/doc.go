// Package relay forwards requests of entry hosts to targets. A relay runs on a
// control host and serves the entry hosts of its availability zone. They share its
// connections to targets, and it paces downloads to the rate of each entry host's
// link, so that they do not delay other responses there.
//
// The entry host chooses the target and evaluates the response. A relay makes no
// routing or retry decisions: it sends a request at most once, to the target that
// the request names, and returns the response unchanged or reports why there is none.
package relay
