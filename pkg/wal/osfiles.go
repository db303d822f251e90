package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const lockName = "lock"

// ErrLocked is returned for a data folder that another process has open.
var ErrLocked = errors.New("data folder is open in another process")

// osFiles implements Files on the file system of the operating system.
type osFiles struct{ folder string }

// NewOSFiles returns Files for a folder, which it creates if missing.
func NewOSFiles(folder string) (Files, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	// The entry of the folder in its parent has to survive a crash as well.
	if err := syncFolder(filepath.Dir(filepath.Clean(folder))); err != nil {
		return nil, err
	}
	return &osFiles{folder: folder}, nil
}

func (f *osFiles) path(name string) string { return filepath.Join(f.folder, name) }

func (f *osFiles) List() ([]string, error) {
	entries, err := os.ReadDir(f.folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (f *osFiles) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

func (f *osFiles) Create(name string) (File, error) {
	return f.open(name, os.O_CREATE|os.O_EXCL)
}

func (f *osFiles) Append(name string) (File, error) { return f.open(name, 0) }

func (f *osFiles) open(name string, flags int) (File, error) {
	file, err := os.OpenFile(f.path(name), flags|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, err // a nil *os.File would make the returned interface non-nil
	}
	return file, nil
}

func (f *osFiles) Rename(oldName, newName string) error {
	return os.Rename(f.path(oldName), f.path(newName))
}

func (f *osFiles) Remove(name string) error { return os.Remove(f.path(name)) }

func (f *osFiles) SyncFolder() error { return syncFolder(f.folder) }

func (f *osFiles) Lock() (func() error, error) {
	file, err := os.OpenFile(f.path(lockName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, ErrLocked
	}
	return file.Close, nil
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	err = d.Sync()
	return errors.Join(err, d.Close())
}
