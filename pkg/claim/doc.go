// Package claim decides which attempt may run a request that must run at most once.
//
// Every key has a register at each of n stores. An attempt that holds the
// votes of a majority m of stores, and only it, may send, once. The argument
// rests on these invariants:
//
//   - A store has granted at most one attempt that has not been released.
//   - Only the owner releases an attempt, after it gave up for good. A store
//     never grants a released attempt again.
//   - A vote is on disk before the grant is sent.
//   - A store that lost its disk votes only for keys it cannot have voted for
//     before, until it has copied n-m+1 other stores. Each of them first
//     records the new incarnation, and tells it in every later grant, so that
//     a proposer discards grants of the lost incarnation.
//   - A store that has dropped the records of old keys never votes for keys
//     of that age again, whatever its clock says.
package claim
