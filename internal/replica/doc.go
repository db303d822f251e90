// Package replica runs a control host's member of the agreement group: it
// connects the step function of pkg/agree to the disk (pkg/wal), the network
// (internal/peer) and the clock, and applies committed commands to a state
// machine.
package replica
