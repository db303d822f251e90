// Package core is a control host of a deployment whose hosts find each other
// from a few seeds. It keeps the desired state in the agreement group, takes
// the announcements of targets, tells callers which entry hosts to use and
// tells entry hosts what they need.
package core
