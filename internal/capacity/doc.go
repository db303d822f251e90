// Package capacity measures how state, bytes and processor time grow with the
// size of a deployment, and extends the slopes to the planned size.
package capacity
