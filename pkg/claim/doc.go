// Package claim implements the quorum protocol that lets at most one attempt
// send a request that must run at most once.
//
// Each of n stores keeps a record for every key. Only the attempt that holds
// the votes of a majority m of the stores may send the request, and only
// once. Safety rests on these invariants:
//
//   - For each key, a store has granted at most one attempt that has not been
//     released.
//   - Only the owner releases an attempt, after it has given up permanently. A
//     store never grants a released attempt again.
//   - A vote is on disk before the grant is sent.
//   - A store that lost its disk votes only for keys that it cannot have voted
//     for before, until it has copied n-m+1 other stores. Each of them first
//     records the new incarnation and reports it in every later grant, so that
//     a proposer discards grants of the lost incarnation.
//   - A store that has dropped the records of old keys never votes for keys
//     of that age again, even if its clock is set back.
package claim
