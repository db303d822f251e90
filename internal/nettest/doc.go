// Package nettest holds what tests of several packages need of a network:
// addresses to bind again, scripted targets, and hosts that lose power.
package nettest
