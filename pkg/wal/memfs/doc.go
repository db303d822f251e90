// Package memfs implements wal.Files in memory for tests. It distinguishes written
// from synced data, fails operations on demand and, after a crash, simulates the
// states that a disk may be left in.
package memfs
