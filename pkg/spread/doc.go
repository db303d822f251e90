// Package spread decides how accepted bundle versions reach all hosts: along
// which fan-out tree they are offered, and what to send to a host that asks for
// newer versions. It does no I/O and reads no clock.
package spread
