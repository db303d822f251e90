// Package platformnode assembles the processes of control hosts and entry hosts
// that run on the platform: settings, listeners, signals and shutdown.
package platformnode
