// Package memfs is an in-memory wal.Files for tests. It keeps apart what was
// written and what was synced, fails operations on demand and, after a crash,
// shows any state that a disk may be left in.
package memfs
