// Package zonelease elects the coordinator of an availability zone by leases.
// Voters keep their state in memory only. The package does no I/O and reads no
// clock: time and randomness are passed in.
package zonelease
