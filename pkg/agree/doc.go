// Package agree is the agreement of the control hosts on one history of
// commands: a Raft-style step function without I/O, clock or randomness.
//
// The caller feeds time, messages and proposals to a Node and then takes an
// Output with Ready. It must make the Output's persistent part durable before
// it sends the Output's messages or applies its committed entries.
//
// Invariants:
//
//   - I1 At most one leader is elected in a term: a server's vote of a term is
//     durable before it is sent, and a majority of voters is needed.
//   - I2 A leader holds every committed entry: a vote goes only to a candidate
//     whose log is at least as fresh, and only entries of the leader's own term
//     are committed by counting.
//   - I3 Logs that hold the same index and term are equal up to there.
//   - I4 Committed entries are never removed or changed.
//   - I5 Two consecutive memberships differ by one voter, so their majorities
//     overlap. A change starts only after the one before is committed and the
//     leader has committed an entry of its own term.
//   - I6 A server is a name with an incarnation. A host that lost its disk is
//     another server: what the old one voted or stored counts for it no more.
//     It replaces the old voter as a learner and becomes a voter by a second
//     change once it holds all committed entries.
package agree
