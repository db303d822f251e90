// Package platformnode wires a control host and an entry host that run on the
// platform: settings, ports, signals.
package platformnode
