package wal

import "fmt"

// Methods of this file run during Open or with mu held.

// writeFrame writes and syncs one frame, in a new segment if the active one is full.
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
	l.note(f)
	return nil
}

// note keeps the largest live index of each segment.
func (l *Log) note(f *frame) {
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

func (l *Log) tail() *segment { return l.segments[len(l.segments)-1] }

// rotate starts a new segment; the folder is synced before any record in it is reported durable.
func (l *Log) rotate() error {
	name := segmentName(l.next)
	f, err := l.files.Create(name)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	if err := l.startSegment(f, name); err != nil {
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

func (l *Log) startSegment(f File, name string) error {
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

// repair cuts an incomplete end off the last segment and syncs it: frames read
// from the page cache of a killed process may not be on disk yet.
func (l *Log) repair(end, size int64) error {
	s := l.tail()
	f, err := l.files.Append(s.name)
	if err != nil {
		return fmt.Errorf("open %s: %w", s.name, err)
	}
	l.active = f
	if end < size {
		if err := f.Truncate(end); err != nil {
			return fmt.Errorf("cut %s: %w", s.name, err)
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

// activate makes the first segment of a new log.
func (l *Log) activate() error {
	if len(l.segments) > 0 {
		return nil
	}
	return l.rotate()
}
