package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// Open recovers the log of a folder, or makes a new one in an empty folder.
// It refuses a folder of another host, kind or format and any corruption
// other than an incomplete last frame.
func Open(o Options) (*Log, *Recovered, error) {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.Files == nil {
		files, err := NewOSFiles(o.Folder)
		if err != nil {
			return nil, nil, err
		}
		o.Files = files
	}
	unlock, err := o.Files.Lock()
	if err != nil {
		return nil, nil, fmt.Errorf("lock %s: %w", o.Folder, err)
	}
	p := &opening{options: o, files: o.Files}
	l, err := p.run()
	if err != nil {
		_ = unlock()
		return nil, nil, err
	}
	l.unlock = unlock
	go l.run()
	return l, &p.found, nil
}

// opening is the state of one recovery.
type opening struct {
	options   Options
	files     Files
	segments  []uint64 // first sequences, ascending
	snapshots []uint64 // indexes, ascending
	identity  bool
	found     Recovered
	log       *Log
}

func (p *opening) run() (*Log, error) {
	if err := p.list(); err != nil {
		return nil, err
	}
	if err := p.readIdentity(); err != nil {
		return nil, err
	}
	if err := p.readSnapshot(); err != nil {
		return nil, err
	}
	p.log = newLog(p.options, p.found.SnapshotIndex)
	for i := range p.segments {
		if err := p.readSegment(i); err != nil {
			return nil, err
		}
	}
	p.found.Records = slices.DeleteFunc(p.found.Records, func(r Record) bool { return r.Index <= p.found.SnapshotIndex })
	if err := p.log.activate(); err != nil {
		return nil, err
	}
	return p.log, p.log.dropOldFiles()
}

// list sorts the folder's files by kind and removes unfinished ones.
func (p *opening) list() error {
	names, err := p.files.List()
	if err != nil {
		return fmt.Errorf("list %s: %w", p.options.Folder, err)
	}
	var unknown finding.List
	for _, name := range names {
		segmentFirst, isSegment := parseName(name, segmentSuffix)
		snapshotIndex, isSnapshot := parseName(name, snapshotSuffix)
		switch {
		case name == identityName:
			p.identity = true
		case isSegment:
			p.segments = append(p.segments, segmentFirst)
		case isSnapshot:
			p.snapshots = append(p.snapshots, snapshotIndex)
		case strings.HasSuffix(name, tempSuffix):
			if err := p.files.Remove(name); err != nil {
				return fmt.Errorf("remove unfinished %s: %w", name, err)
			}
		default:
			unknown.Add(p.path(name), 0, "", "file does not belong to a log")
		}
	}
	slices.Sort(p.segments)
	slices.Sort(p.snapshots)
	return unknown.Err()
}

// readIdentity checks the identity, or makes one if the folder is empty. A
// folder with data but without identity cannot be told from another host's.
func (p *opening) readIdentity() error {
	if p.identity {
		data, err := p.files.Read(identityName)
		if err != nil {
			return fmt.Errorf("read identity: %w", err)
		}
		p.found.Identity, err = parseIdentity(data, p.options)
		return err
	}
	if len(p.segments)+len(p.snapshots) > 0 {
		var list finding.List
		list.Add(p.path(identityName), 0, "", "identity is missing beside segments or snapshots")
		return list.Err()
	}
	p.found.Fresh = true
	p.found.Identity = newIdentity(p.options.Host, p.options.Kind)
	data, err := encodeIdentity(p.found.Identity)
	if err != nil {
		return err
	}
	return writeWhole(p.files, identityName, data)
}

func (p *opening) readSnapshot() error {
	if len(p.snapshots) == 0 {
		return nil
	}
	index := p.snapshots[len(p.snapshots)-1]
	name := snapshotName(index)
	buf, err := p.files.Read(name)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	p.found.Snapshot, err = decodeSnapshot(p.path(name), buf, index)
	if err == nil && len(p.segments) == 0 {
		return &CorruptError{File: p.path(name), Reason: "snapshot without a segment; segments are missing"}
	}
	p.found.SnapshotIndex = index
	return err
}

func (p *opening) path(name string) string { return filepath.Join(p.options.Folder, name) }
