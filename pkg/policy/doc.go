// Package policy defines the operators' routing policy: which service a request
// goes to, how long it may take and how often it may be sent.
package policy
