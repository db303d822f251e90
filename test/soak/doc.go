// Package soak holds a randomized soak of the platform's programs: control
// hosts and entry hosts run as separate processes on loopback addresses, faults
// are injected from outside, and the promises are checked from what callers,
// targets and operators see. A short run with fixed seeds is part of the tests;
// "go test ./test/soak -run TestSoak -args -seeds 50 -first 1000" runs more.
package soak
