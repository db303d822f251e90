// Package link keeps the traffic of all entry hosts on a link below its cap.
//
// Invariants:
//
//   - For each link and direction, the floors of all hosts, the reserve and
//     all leases that any host may still use add up to at most the cap.
//   - In any window of 100 ms the grants of a shaper stay below its bucket at
//     the start of the window plus the lowered rate over the window. Both are
//     proportional to the share, so the sum over all hosts stays below the cap
//     also while shares move between hosts.
package link
