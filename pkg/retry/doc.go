// Package retry decides whether a failed attempt of a request may be retried, within
// a retry budget.
package retry
