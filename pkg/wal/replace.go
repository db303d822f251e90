package wal

import "fmt"

// writeFileAtomic writes and syncs a temporary file and renames it to name, so that
// name never refers to a partial file. The file is durable on return.
func writeFileAtomic(files Files, name string, data []byte) error {
	temp := name + tempSuffix
	f, err := files.Create(temp)
	if err != nil {
		return fmt.Errorf("create %s: %w", temp, err)
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return fmt.Errorf("write %s: %w", temp, err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return fmt.Errorf("sync %s: %w", temp, err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("close %s: %w", temp, err)
	}
	if err := files.Rename(temp, name); err != nil {
		return fmt.Errorf("rename %s: %w", temp, err)
	}
	if err := files.SyncFolder(); err != nil {
		return fmt.Errorf("sync folder for %s: %w", name, err)
	}
	return nil
}
