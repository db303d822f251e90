// Package relay passes requests of entry hosts on to targets. A relay runs on a
// control host and serves the entry hosts of its availability zone: they share
// its connections to targets, and downloads reach an entry host no faster than
// its link carries them, so that they do not delay other answers there.
//
// The entry host chooses the target and judges the answer. A relay adds no
// decision of its own: it sends a request once, to the target that is named,
// and returns the answer as it came, or says what kept it from doing so.
package relay
