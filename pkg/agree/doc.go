// Package agree implements consensus among the control hosts on one replication
// log of commands: a Raft-style step function without I/O, clock or randomness.
//
// The caller passes time, messages and proposals to a Node and then collects an
// Output with Ready. It must make the Output's persistent part durable before
// it sends the Output's messages or applies its committed entries.
//
// Invariants:
//
//   - I1 At most one leader is elected in a term: a server's vote is durable
//     before it is sent, and a candidate needs the votes of a majority.
//   - I2 A leader holds every committed entry: a server votes only for a
//     candidate whose log is at least as up to date as its own, and a leader
//     counts acknowledgements only to commit entries of its own term, which
//     commits the earlier ones too.
//   - I3 Logs that hold an entry of the same index and term are equal up to it.
//   - I4 Committed entries are never removed or changed.
//   - I5 Two consecutive memberships differ by one voter, so their majorities
//     overlap. A change starts only after the previous one is committed and the
//     leader has committed an entry of its own term.
//   - I6 A server is identified by a name and an incarnation. A host that lost
//     its disk is a different server: the votes and acknowledgements of the old
//     incarnation do not count for the new one. The new incarnation replaces
//     the old voter as a learner and becomes a voter by a second change once it
//     holds all committed entries.
package agree
