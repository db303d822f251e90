// Package desired holds the replicated desired state of a deployment whose operators
// send whole policies: the policy in force, the evacuated availability zones and the
// targets that are leaving.
package desired
