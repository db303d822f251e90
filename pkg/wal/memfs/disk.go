package memfs

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"

	"github.com/hornbeamstack/hornbeamstack/pkg/wal"
)

// ErrCrashed is returned by every operation between a crash and Restart or Kill, and
// by files that were opened before the crash.
var ErrCrashed = errors.New("host has crashed")

// Disk is a data folder in memory; it is safe for concurrent use.
type Disk struct {
	mu         sync.Mutex
	names      map[string]*inode // as the running process sees them
	durable    map[string]*inode // as of the last folder sync
	changes    []change          // of names, since the last folder sync
	locked     bool
	generation int // number of restarts; files opened before the last one return ErrCrashed

	crashed    bool
	crashIn    int // operations until a crash, -1 for none
	faults     map[Op]error
	operations int
}

// inode is the content of one file as written and as of its last sync.
type inode struct {
	data   []byte
	synced []byte
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, crashIn: -1, faults: map[Op]error{}}
}

// List implements wal.Files.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Read implements wal.Files.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	node, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(node.data), nil
}

// Create implements wal.Files.
func (d *Disk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(OpCreate); err != nil {
		return nil, err
	}
	if _, ok := d.names[name]; ok {
		return nil, fs.ErrExist
	}
	node := &inode{}
	d.apply(change{add: name, node: node})
	return &file{disk: d, node: node, generation: d.generation}, nil
}

// Append implements wal.Files.
func (d *Disk) Append(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	node, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &file{disk: d, node: node, generation: d.generation}, nil
}

// Rename implements wal.Files.
func (d *Disk) Rename(oldName, newName string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(OpRename); err != nil {
		return err
	}
	node, ok := d.names[oldName]
	if !ok {
		return fs.ErrNotExist
	}
	d.apply(change{remove: oldName, add: newName, node: node})
	return nil
}

// Remove implements wal.Files.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(OpRemove); err != nil {
		return err
	}
	if _, ok := d.names[name]; !ok {
		return fs.ErrNotExist
	}
	d.apply(change{remove: name})
	return nil
}

// SyncFolder implements wal.Files.
func (d *Disk) SyncFolder() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.begin(OpSyncFolder); err != nil {
		return err
	}
	d.durable, d.changes = maps.Clone(d.names), nil
	return nil
}

// Lock implements wal.Files.
func (d *Disk) Lock() (func() error, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	if d.locked {
		return nil, wal.ErrLocked
	}
	d.locked = true
	generation := d.generation
	return func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		if generation == d.generation {
			d.locked = false
		}
		return nil
	}, nil
}
