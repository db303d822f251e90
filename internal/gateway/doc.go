// Package gateway is the request path of an entry host: it reads the requests
// of callers, sends each to a target of its service and returns the answer.
//
// Requests that a caller sends ahead are read while earlier ones are at work;
// answers leave in the order of the requests. net/http's server reads the next
// request only after the last answer, so the loop over a connection is own
// code around net/http's parser.
package gateway
