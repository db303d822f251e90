// Package roster keeps what is known of the targets: their announcements in the
// order of each target's own lives and counts, and which of them are leaving.
//
// Invariants:
//
//   - An announcement of an earlier life, or of the same life with a lower
//     sequence number, changes nothing, however late it arrives.
//   - A life that is leaving stays so. Only a later life of the same name is
//     usable again.
//   - An address belongs to the life that announced it last.
package roster
