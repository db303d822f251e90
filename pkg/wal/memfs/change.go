package memfs

// change is one change of names: a creation, removal or rename.
type change struct {
	remove string
	add    string
	node   *inode
}

// apply makes a change visible; it is durable after the next folder sync.
func (d *Disk) apply(c change) {
	c.apply(d.names)
	d.changes = append(d.changes, c)
}

func (c change) apply(names map[string]*inode) {
	if c.remove != "" {
		delete(names, c.remove)
	}
	if c.add != "" {
		names[c.add] = c.node
	}
}
