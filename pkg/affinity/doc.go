// Package affinity chooses the target of a request by the object that the
// request concerns, since targets are faster for objects that they handled
// lately.
//
// Each object has a fixed order of targets. It changes for as few objects as
// possible when targets come and go (weighted rendezvous hashing). Callers'
// own region is used as far as its slots go; a fixed part of the objects of
// each region is served elsewhere.
package affinity
