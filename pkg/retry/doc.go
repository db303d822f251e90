// Package retry decides whether an attempt may be repeated.
package retry
