// Package link keeps the traffic of all entry hosts on a link below its cap.
// The leader leases shares of the cap to hosts; each host enforces its share
// with a token bucket.
//
// Invariants:
//
//   - For each link and direction, the floors of all hosts, the reserve and
//     all leases that any host may still use add up to at most the cap.
//   - In any window of 100 ms a shaper grants at most the tokens in its bucket
//     at the start of the window plus the refill during the window. The refill
//     rate is lowered by the bucket size, so that both together stay within the
//     share. While shares move between hosts, a bucket may exceed its new share
//     by at most minBurst per host; the reserve covers that.
package link
