package wal

import (
	"fmt"
	"slices"
)

// readSegment checks and replays the frames of segment i.
func (p *recovery) readSegment(i int) error {
	first, last := p.segments[i], i == len(p.segments)-1
	name := segmentName(first)
	// Segments are removed only after a snapshot, so without one the log starts with
	// sequence 1.
	if i == 0 && p.recovered.Snapshot != nil {
		p.log.next = first
	}
	if first != p.log.next {
		return &CorruptError{File: p.path(name),
			Reason: fmt.Sprintf("segment starts with sequence %d instead of %d, a segment is missing", first, p.log.next)}
	}
	data, err := p.files.Read(name)
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	frames, end, err := scanSegment(p.path(name), data, first, last)
	if err != nil {
		return err
	}
	p.log.segments = append(p.log.segments, &segment{name: name, first: first, size: end})
	for _, f := range frames {
		p.log.trackFrame(&f)
		p.replay(&f)
	}
	if last {
		return p.log.repair(end, int64(len(data)))
	}
	return nil
}

// replay applies a frame to the recovered records.
func (p *recovery) replay(f *frame) {
	if f.Kind == frameTruncate {
		p.recovered.Records = slices.DeleteFunc(p.recovered.Records, func(r Record) bool { return r.Index > f.After })
		return
	}
	p.recovered.Records = append(p.recovered.Records, f.Records...)
}
