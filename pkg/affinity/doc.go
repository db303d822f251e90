// Package affinity chooses the target of a request by the object that the request
// concerns, because a target is faster for objects that it handled recently.
//
// Each object has a fixed order of targets, by weighted rendezvous hashing: when
// targets come and go, it changes for as few objects as possible. The first and second
// target of the order are the object's first and second home. Requests go to the
// caller's own region as far as its slots suffice; a fixed share of the objects of
// each region is served elsewhere.
package affinity
