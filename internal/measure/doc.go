// Package measure drives a deployment with open-loop load over real sockets and
// compares the results with the stated performance targets. It is not a simulator:
// hosts and stand-in targets run their production code on loopback addresses,
// without the latency between zones and regions.
package measure
