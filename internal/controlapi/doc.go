// Package controlapi implements the HTTP API of control hosts for operators:
// submission and history of bundle versions, and the status of all hosts. Control
// hosts that are not the leader forward requests to the leader.
package controlapi
