package memfs

// change is a creation, removal or rename of a file.
type change struct {
	remove string
	add    string
	node   *inode // of add
}

// apply makes a change visible, which becomes durable with the next folder sync.
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
