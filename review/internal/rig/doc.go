// Package rig runs a small deployment for the review cases: the programs of the deploy
// file as separate processes on loopback addresses, with stand-ins for the platform, the
// operator, the servers and the clients.
package rig
