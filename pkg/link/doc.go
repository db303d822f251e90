// Package link keeps the traffic of all entry hosts on a link below its cap.
//
// Invariants:
//
//   - For each link and direction, the floors of all hosts, the reserve and
//     all leases that any host may still use add up to at most the cap.
//   - In any window of 100 ms the grants of a shaper stay below its bucket at
//     the start of the window plus the lowered rate over the window, together
//     the share. While shares move between hosts the buckets may differ from
//     the new shares by at most minBurst for each host; the reserve covers that.
package link
