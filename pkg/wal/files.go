package wal

// Files gives access to the files of one data folder. Names are file names without a
// path.
type Files interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create creates a file for writing and fails if the name exists.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename renames oldName to newName atomically and replaces an existing newName.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
	// Lock acquires exclusive use of the folder, which unlock releases. It returns
	// ErrLocked if the folder is in use.
	Lock() (unlock func() error, err error)
}

// File is an open file. Writes are durable only after Sync.
type File interface {
	Write(p []byte) (int, error)
	// Truncate shortens the file to size bytes; later writes append at the new end.
	Truncate(size int64) error
	Sync() error
	Close() error
}
