// Command rig2 runs the scripted cases 6 to 10 of the second review. It starts the
// programs of the deploy file as separate processes on loopback addresses, and plays
// the clients, the servers, the operator and the platform itself.
//
// Usage: rig2 CASE RECORD. With TROUBLE=0 in the environment the disruption of the case
// is left out. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could
// not run.
package main
