package wal

import "fmt"

// Methods of this file are called during Open or with mu held.

// writeFrame writes and syncs one frame. It starts a new segment first if the active
// one is full.
func (l *Log) writeFrame(f *frame) error {
	if l.tail().size >= l.options.SegmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	f.Sequence = l.next
	buf := f.encode()
	name := l.tail().name
	if _, err := l.active.Write(buf); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := l.active.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	l.tail().size += int64(len(buf))
	l.trackFrame(f)
	return nil
}

// trackFrame updates the next sequence number and the largest live index of each
// segment.
func (l *Log) trackFrame(f *frame) {
	l.next = f.Sequence + 1
	for _, r := range f.Records {
		l.tail().maxIndex = max(l.tail().maxIndex, r.Index)
	}
	if f.Kind == frameTruncate {
		for _, s := range l.segments {
			s.maxIndex = min(s.maxIndex, f.After)
		}
	}
}

// tail returns the active segment.
func (l *Log) tail() *segment { return l.segments[len(l.segments)-1] }

// rotate starts a new segment. It syncs the folder, so that no record in the segment
// is reported durable before the file itself is.
func (l *Log) rotate() error {
	name := segmentName(l.next)
	f, err := l.files.Create(name)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	if err := l.initSegment(f, name); err != nil {
		_ = f.Close()
		return err
	}
	old := l.active
	l.active = f
	l.segments = append(l.segments, &segment{name: name, first: l.next, size: int64(len(segmentMagic))})
	if old != nil {
		return old.Close()
	}
	return nil
}

// initSegment writes the header of a new segment and makes the file durable.
func (l *Log) initSegment(f File, name string) error {
	if _, err := f.Write(segmentMagic); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	if err := l.files.SyncFolder(); err != nil {
		return fmt.Errorf("sync folder for %s: %w", name, err)
	}
	return nil
}

// repair truncates the last segment to its intact frames and opens it for appending.
// It syncs the file, since frames of a killed process may be in the page cache but
// not yet on disk.
func (l *Log) repair(end, size int64) error {
	s := l.tail()
	f, err := l.files.Append(s.name)
	if err != nil {
		return fmt.Errorf("open %s: %w", s.name, err)
	}
	l.active = f
	if end < size {
		if err := f.Truncate(end); err != nil {
			return fmt.Errorf("truncate %s: %w", s.name, err)
		}
	}
	if end == 0 {
		if _, err := f.Write(segmentMagic); err != nil {
			return fmt.Errorf("write %s: %w", s.name, err)
		}
		s.size = int64(len(segmentMagic))
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", s.name, err)
	}
	return l.files.SyncFolder()
}

// ensureSegment creates the first segment of a new log.
func (l *Log) ensureSegment() error {
	if len(l.segments) > 0 {
		return nil
	}
	return l.rotate()
}
