package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/hornbeamstack/hornbeamstack/pkg/finding"
)

// Open recovers the log in a folder, or creates one if the folder is empty. It returns
// a finding.List for a folder of another host, kind or format, ErrLocked for one that
// is in use, and a CorruptError for any corruption other than an incomplete last frame.
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
	p := &recovery{options: o, files: o.Files}
	l, err := p.run()
	if err != nil {
		_ = unlock()
		return nil, nil, err
	}
	l.unlock = unlock
	go l.run()
	return l, &p.recovered, nil
}

// recovery is the state of one call of Open.
type recovery struct {
	options     Options
	files       Files
	segments    []uint64 // first sequence numbers, ascending
	snapshots   []uint64 // indexes, ascending
	hasIdentity bool
	recovered   Recovered
	log         *Log
}

func (p *recovery) run() (*Log, error) {
	if err := p.listFiles(); err != nil {
		return nil, err
	}
	if err := p.readIdentity(); err != nil {
		return nil, err
	}
	if err := p.readSnapshot(); err != nil {
		return nil, err
	}
	p.log = newLog(p.options, p.recovered.SnapshotIndex)
	for i := range p.segments {
		if err := p.readSegment(i); err != nil {
			return nil, err
		}
	}
	p.recovered.Records = slices.DeleteFunc(p.recovered.Records, func(r Record) bool { return r.Index <= p.recovered.SnapshotIndex })
	if err := p.log.ensureSegment(); err != nil {
		return nil, err
	}
	return p.log, p.log.dropOldFiles()
}

// listFiles collects the segments and snapshots of the folder and removes temporary
// files. It returns a finding for each unknown file.
func (p *recovery) listFiles() error {
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
			p.hasIdentity = true
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

// readIdentity checks the identity file, or creates it if the folder is empty. It
// refuses a folder with data but no identity, which may belong to another host.
func (p *recovery) readIdentity() error {
	if p.hasIdentity {
		data, err := p.files.Read(identityName)
		if err != nil {
			return fmt.Errorf("read identity: %w", err)
		}
		p.recovered.Identity, err = parseIdentity(data, p.options)
		return err
	}
	if len(p.segments)+len(p.snapshots) > 0 {
		var list finding.List
		list.Add(p.path(identityName), 0, "", "identity file is missing from a folder that holds segments or snapshots")
		return list.Err()
	}
	p.recovered.Fresh = true
	p.recovered.Identity = newIdentity(p.options.Host, p.options.Kind)
	data, err := encodeIdentity(p.recovered.Identity)
	if err != nil {
		return err
	}
	return writeFileAtomic(p.files, identityName, data)
}

// readSnapshot loads the newest snapshot, if there is one.
func (p *recovery) readSnapshot() error {
	if len(p.snapshots) == 0 {
		return nil
	}
	index := p.snapshots[len(p.snapshots)-1]
	name := snapshotName(index)
	buf, err := p.files.Read(name)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	p.recovered.Snapshot, err = decodeSnapshot(p.path(name), buf, index)
	if err == nil && len(p.segments) == 0 {
		return &CorruptError{File: p.path(name), Reason: "snapshot without a segment; segments are missing"}
	}
	p.recovered.SnapshotIndex = index
	return err
}

func (p *recovery) path(name string) string { return filepath.Join(p.options.Folder, name) }
