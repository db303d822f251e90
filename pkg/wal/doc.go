// Package wal keeps a segmented, checksummed log with snapshots in one data folder.
//
// Records travel in frames. A frame is written with one write and synced
// before the next frame is written, so after a crash only the last frame of
// the last segment can be incomplete. Truncation is a frame of its own: the
// log is only ever extended, and old segments leave as a whole.
package wal
