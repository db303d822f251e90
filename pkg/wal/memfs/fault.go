package memfs

import (
	"maps"
	"slices"
)

// Op is an operation that changes the disk and can be made to fail.
type Op uint8

// The operations that count for CrashIn and can fail.
const (
	OpCreate Op = iota
	OpWrite
	OpTruncate
	OpSync
	OpRename
	OpRemove
	OpSyncFolder
)

// sectorBytes is the unit in which unsynced data is kept or lost by a power loss.
const sectorBytes = 512

// Fail makes all operations of a kind fail with err, until it is called with nil.
func (d *Disk) Fail(op Op, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults[op] = err
}

// CrashIn makes the host crash in place of an operation, after n further operations.
func (d *Disk) CrashIn(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashIn = n
}

// Operations returns the number of operations performed so far.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// begin counts an operation and returns the error it has to fail with, if any. The
// caller holds mu.
func (d *Disk) begin(op Op) error {
	if d.crashIn == 0 {
		d.crashed = true
	}
	if d.crashed {
		return ErrCrashed
	}
	if d.crashIn > 0 {
		d.crashIn--
	}
	d.operations++
	return d.faults[op]
}

// Kill simulates a process that is killed and started again while the host keeps
// running: all written data is kept, whether synced or not.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startGeneration()
}

// startGeneration ends the crash and all faults, and invalidates open files and the
// lock. The caller holds mu.
func (d *Disk) startGeneration() {
	d.generation++
	d.locked, d.crashed, d.crashIn = false, false, -1
	d.faults = map[Op]error{}
}

// Restart starts the host again after a power loss. pick returns a number in [0, n)
// and decides which unsynced changes survived: any subset of the creations, removals
// and renames, and of each file any sectors of a prefix of the unsynced data.
func (d *Disk) Restart(pick func(n int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.changes {
		present := c.remove == "" || d.durable[c.remove] != nil
		if pick(2) == 1 && present {
			c.apply(d.durable)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		node := d.durable[name]
		node.data = node.afterCrash(pick)
		node.synced = slices.Clone(node.data)
	}
	d.names, d.changes = maps.Clone(d.durable), nil
	d.startGeneration()
}

// afterCrash returns the content that survives a power loss. Data up to the first
// difference between the written and the synced content always does.
func (n *inode) afterCrash(pick func(n int) int) []byte {
	common := 0
	for common < min(len(n.data), len(n.synced)) && n.data[common] == n.synced[common] {
		common++
	}
	if common == len(n.data) && common == len(n.synced) {
		return n.data
	}
	if pick(3) == 0 {
		return slices.Clone(n.synced)
	}
	data := slices.Clone(n.data[:common+pick(len(n.data)-common+1)])
	for start := common; start < len(data); start += sectorBytes {
		if pick(4) == 0 {
			clear(data[start:min(start+sectorBytes, len(data))])
		}
	}
	return data
}

// Damage inverts one byte of a file, as a faulty disk may.
func (d *Disk) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[name].data[offset] ^= 0xff
}
