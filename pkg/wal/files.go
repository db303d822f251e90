package wal

// Files is the access to the files of one data folder. Names hold no path.
type Files interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create makes a new file and fails if the name exists.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename replaces newName by oldName atomically.
	Rename(oldName, newName string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
	// Lock takes exclusive use of the folder; the function returned gives it up.
	Lock() (unlock func() error, err error)
}

// File is an open file. Writes are durable only after Sync.
type File interface {
	Write(p []byte) (int, error)
	// Truncate cuts the file to size bytes; later writes follow its new end.
	Truncate(size int64) error
	Sync() error
	Close() error
}
