// Package steer decides which entry hosts a caller is told to use and in which
// order availability zones are tried for a request.
//
// All types are immutable once built, so that look-ups need no lock: a change of
// the bundle or of host states builds new values that share what did not change.
package steer
