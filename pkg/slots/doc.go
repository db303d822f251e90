// Package slots decides which target of an availability zone serves a
// request. A Pool holds the zone's targets, the permits that may be in use and
// the queue of waiting requests. The package is pure: time is passed in, and
// callers serialize access.
package slots
