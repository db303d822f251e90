// Package controlapi is the HTTP interface of control hosts for operators:
// submission and history of bundle versions and the status of all hosts. A
// control host that does not lead forwards requests to the leader.
package controlapi
