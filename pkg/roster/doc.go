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
//   - A target whose service the policy names gives way to no announcement of a service
//     that the policy does not name: neither under its own name nor at its address.
//   - Of the targets that announce an address, only the one that started last is usable,
//     and only while it announces itself. Nothing of that lasts: once the later target is
//     silent, leaving or without a service, the earlier one is usable again.
package roster
