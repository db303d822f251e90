package agree

import "slices"

// entryLog holds the entries after base; earlier ones were compacted.
type entryLog struct {
	base     uint64 // index of the last compacted entry
	baseTerm uint64
	entries  []Entry
	unsaved  uint64 // first index not yet handed out for persistence
}

func newEntryLog(base, baseTerm uint64, entries []Entry) *entryLog {
	l := &entryLog{base: base, baseTerm: baseTerm, entries: slices.Clone(entries)}
	l.unsaved = l.last() + 1
	return l
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry; ok is false if the entry is not held.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// between returns the entries in (after, upTo].
func (l *entryLog) between(after, upTo uint64) []Entry {
	return l.entries[after-l.base : upTo-l.base : upTo-l.base]
}

// batch returns the entries after an index, up to maxAppendBytes.
func (l *entryLog) batch(after uint64) []Entry {
	all := l.between(after, l.last())
	size := 0
	for i := range all {
		size += all[i].bytes()
		if size > maxAppendBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}

// add appends entries. They replace held entries from the first one's index on.
func (l *entryLog) add(entries ...Entry) {
	first := entries[0].Index
	if first <= l.last() {
		// Copied, since messages and outputs may still refer to the replaced entries.
		l.entries = slices.Clone(l.between(l.base, first-1))
	}
	l.entries = append(l.entries, entries...)
	l.unsaved = min(l.unsaved, first)
}

// takeUnsaved returns the entries to persist and marks them as saved.
func (l *entryLog) takeUnsaved() []Entry {
	if l.unsaved > l.last() {
		return nil
	}
	entries := l.between(l.unsaved-1, l.last())
	l.unsaved = l.last() + 1
	return entries
}

// trailingStart returns the index after which the held entries up to index are at most
// maxEntries and maxBytes.
func (l *entryLog) trailingStart(index uint64, maxEntries, maxBytes int) uint64 {
	start, size := index, 0
	for start > l.base && index-start < uint64(maxEntries) {
		size += l.entries[start-l.base-1].bytes()
		if size > maxBytes {
			break
		}
		start--
	}
	return start
}

// compact drops entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.between(index, l.last()))
	l.base, l.baseTerm = index, term
}

// reset drops all entries; the log continues after a snapshot of this index and term.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, unsaved: index + 1}
}

// moreUpToDateThan reports whether this log is more up to date than one whose last
// entry has this index and term: the later term wins, then the larger index.
func (l *entryLog) moreUpToDateThan(index, term uint64) bool {
	if term != l.lastTerm() {
		return l.lastTerm() > term
	}
	return l.last() > index
}
