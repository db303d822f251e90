// Package links leases and enforces link shares (docs/design.md 5.6).
package links
