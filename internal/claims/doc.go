// Package claims serves and uses run-once claims (docs/design.md 5.3) over internal/peer.
package claims
