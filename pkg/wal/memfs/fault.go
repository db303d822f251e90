package memfs

import (
	"maps"
	"slices"
)

// Op is an operation that changes the disk and can be made to fail.
type Op uint8

// Operations.
const (
	OpCreate Op = iota
	OpWrite
	OpTruncate
	OpSync
	OpRename
	OpRemove
	OpSyncFolder
)

// sectorBytes is the unit in which unsynced data reaches the disk or not.
const sectorBytes = 512

// Fail lets all operations of a kind fail with err; nil ends the fault.
func (d *Disk) Fail(op Op, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing[op] = err
}

// CrashIn lets the host crash in the operation after n more ones.
func (d *Disk) CrashIn(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashIn = n
}

// Operations returns the number of operations so far.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.performed
}

// begin counts an operation and returns its fault, if any.
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
	d.performed++
	return d.failing[op]
}

// Kill ends the process: what was written stays, durable or not.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revive()
}

func (d *Disk) revive() {
	d.life++
	d.locked, d.crashed, d.crashIn = false, false, -1
	d.failing = map[Op]error{}
}

// Restart ends a power loss. pick returns a number in [0, n) and decides which
// unsynced changes survived: any of the name changes, and any sectors of a
// prefix of the unsynced data.
func (d *Disk) Restart(pick func(n int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.changes {
		held := c.remove == "" || d.durable[c.remove] != nil
		if pick(2) == 1 && held {
			c.apply(d.durable)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		node := d.durable[name]
		node.data = node.afterCrash(pick)
		node.synced = slices.Clone(node.data)
	}
	d.names, d.changes = maps.Clone(d.durable), nil
	d.revive()
}

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

// Damage inverts one byte of a file, as a failing disk may.
func (d *Disk) Damage(name string, offset int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[name].data[offset] ^= 0xff
}
