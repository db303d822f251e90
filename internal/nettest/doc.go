// Package nettest provides network helpers for the tests of several packages:
// listeners on addresses that can be bound again, scripted targets, and a proxy
// that simulates a host losing power.
package nettest
