// Package desired is the replicated state of a deployment whose operators send
// whole policies: the policy in force, the evacuated availability zones and the
// targets that are leaving.
package desired
