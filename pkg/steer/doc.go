// Package steer decides which entry hosts a caller is told to use, and in which order
// availability zones are tried for a request.
//
// Pickers and their blocks are immutable, so that look-ups need no lock. A change of the
// bundle or of the host states builds new values that share unchanged data.
package steer
