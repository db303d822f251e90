// Package node wires the parts of an entry host and of a control host together.
// It holds no decisions: those live in the packages it joins.
package node
