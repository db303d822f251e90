// Package fleet defines the messages between the hosts of a deployment that
// find each other from a few seeds: what entry hosts pull from control hosts,
// and what control hosts tell each other.
package fleet
