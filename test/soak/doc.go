// Package soak holds a randomized soak test of the platform's programs. Control
// hosts and entry hosts run as separate processes on loopback addresses, faults
// are injected from outside, and the guarantees are checked by what callers,
// targets and operators observe. A short run with fixed seeds is part of the tests;
// "go test ./test/soak -run TestSoak -args -seeds 50 -first 1000" runs more.
package soak
