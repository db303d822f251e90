// Package core implements a control host of a deployment whose hosts discover each
// other from a few seeds. A control host replicates the desired state in the
// agreement group, receives the announcements of targets, lists entry hosts for
// callers, and supplies entry hosts with the policy, orders and known targets.
package core
