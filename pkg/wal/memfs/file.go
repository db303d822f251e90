package memfs

import (
	"io/fs"
	"slices"
)

// file implements wal.File.
type file struct {
	disk       *Disk
	node       *inode
	generation int
	closed     bool
}

// begin checks that the file is usable and counts an operation. The caller holds the
// mutex of the disk.
func (f *file) begin(op Op) error {
	if f.closed {
		return fs.ErrClosed
	}
	if f.generation != f.disk.generation {
		return ErrCrashed
	}
	return f.disk.begin(op)
}

// Write writes half of p if the operation fails, as on a full disk or in a crash.
func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.begin(OpWrite); err != nil {
		if f.closed || f.generation != f.disk.generation {
			return 0, err
		}
		f.node.data = append(f.node.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *file) Truncate(size int64) error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.begin(OpTruncate); err != nil {
		return err
	}
	f.node.data = slices.Clone(f.node.data[:size])
	return nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.begin(OpSync); err != nil {
		return err
	}
	f.node.synced = slices.Clone(f.node.data)
	return nil
}

func (f *file) Close() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.closed {
		return fs.ErrClosed
	}
	f.closed = true
	return nil
}
