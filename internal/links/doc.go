// Package links leases shares of the links between regions and enforces them on
// each entry host (docs/design.md 5.6).
package links
