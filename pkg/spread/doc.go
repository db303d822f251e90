// Package spread decides how accepted bundle versions reach all hosts: the
// fan-out tree of offers and what to send to a host that asks for news. It has
// no sockets and no clock.
package spread
