// Package measure drives a deployment with open-loop load over real sockets
// and reports ratios against the stated targets. It is not a simulator: hosts
// and stand-in targets run their product code on loopback addresses, without
// the latency between zones and regions.
package measure
