package memfs

import (
	"io/fs"
	"slices"
)

// file implements wal.File.
type file struct {
	disk   *Disk
	node   *inode
	life   int
	closed bool
}

func (f *file) begin(op Op) error {
	if f.closed {
		return fs.ErrClosed
	}
	if f.life != f.disk.life {
		return ErrCrashed
	}
	return f.disk.begin(op)
}

// Write writes half of p if it fails, as a full disk or a crash may.
func (f *file) Write(p []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.begin(OpWrite); err != nil {
		if f.closed || f.life != f.disk.life {
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
