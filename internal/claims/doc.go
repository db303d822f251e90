// Package claims implements the stores and the client of run-once claims
// (docs/design.md 5.3) over internal/peer. The protocol itself is in pkg/claim.
package claims
