// Package capacity measures how memory, disk, traffic and processor time grow with
// the size of a deployment and extrapolates the results linearly to the planned
// size.
package capacity
