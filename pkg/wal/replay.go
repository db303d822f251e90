package wal

import (
	"fmt"
	"slices"
)

// readSegment replays the frames of one segment.
func (p *opening) readSegment(i int) error {
	first, last := p.segments[i], i == len(p.segments)-1
	name := segmentName(first)
	// Only a snapshot removes segments, so without one the log starts at 1.
	if i == 0 && p.found.Snapshot != nil {
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
	frames, end, err := scan(p.path(name), data, first, last)
	if err != nil {
		return err
	}
	p.log.segments = append(p.log.segments, &segment{name: name, first: first, size: end})
	for _, f := range frames {
		p.log.note(&f)
		p.replay(&f)
	}
	if last {
		return p.log.repair(end, int64(len(data)))
	}
	return nil
}

func (p *opening) replay(f *frame) {
	if f.Kind == frameTruncate {
		p.found.Records = slices.DeleteFunc(p.found.Records, func(r Record) bool { return r.Index > f.After })
		return
	}
	p.found.Records = append(p.found.Records, f.Records...)
}
