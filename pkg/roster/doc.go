// Package roster keeps the known targets: the newest announcement of each one, by
// life and sequence number, and which targets are leaving. A life is one incarnation
// of a target, from its start to its end.
//
// Invariants:
//
//   - An announcement of an earlier life, or of the same life with a lower
//     sequence number, changes nothing, however late it arrives.
//   - A life that is leaving never becomes usable again. Only a later life of the
//     same name does.
//   - An address belongs to the life that announced it last.
package roster
