// Package gateway is the request path of an entry host: it reads the requests
// of callers, sends each to a target of its service and returns the answer.
//
// Pipelined requests are read while earlier ones are in flight; answers are sent in
// the order of the requests. The server of net/http reads the next request only
// after it has sent the previous answer, so this package has its own connection
// loop around the parser of net/http.
package gateway
