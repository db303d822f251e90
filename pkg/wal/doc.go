// Package wal implements a segmented, checksummed write-ahead log with snapshots in
// one data folder.
//
// Records are written in frames. A frame is written with one write and synced
// before the next frame is written, so after a crash only the last frame of the last
// segment can be incomplete. A truncation is recorded as a frame of its own: the log
// is append-only, and old segments are removed as whole files.
package wal
