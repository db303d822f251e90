// Package zonelease elects the coordinator of an availability zone by leases.
// Voters keep no disk. The package is pure: time and randomness are passed in.
package zonelease
