// Package fleet defines the messages between the hosts of a deployment that discover
// each other from a few seeds: the pulls of entry hosts from control hosts, and the
// exchanges between control hosts.
package fleet
