// Package partition decides whether a host is cut off from all targets, from the outcomes of
// its own attempts to reach them. It has no clock and no sockets: each outcome comes with
// the time since a fixed start.
//
// Invariant: a host counts as cut off only while several targets, of several availability
// zones if it knows more than one, have failed since it last reached any target.
package partition
