// Package replica runs the agreement of the control hosts: it joins the step
// function of pkg/agree to the disk (pkg/wal), the network (internal/peer) and
// the clock, and applies committed commands to a state machine.
package replica
