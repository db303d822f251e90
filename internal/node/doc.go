// Package node assembles an entry host or a control host from its components. It
// contains only wiring and adapters; all policy is in the packages it connects.
package node
