package hop

// HeadStream checks the heads of responses in the bytes of a connection, as they arrive in
// parts, for a reader that it cannot replace. The zero value checks nothing until Expect.
type HeadStream struct {
	Checker  HeadChecker
	expected bool   // a head is due
	pending  []byte // its bytes so far
	next     int    // where the first incomplete line of pending begins
}

// Expect records that the next byte begins a head.
func (s *HeadStream) Expect() { s.expected, s.pending, s.next = true, s.pending[:0], 0 }

// Add checks bytes that arrived. An error means that the reader must not see them: a head
// that is not sound, or longer than 64 KB.
func (s *HeadStream) Add(p []byte) error {
	if !s.expected {
		return nil
	}
	s.pending = append(s.pending, p...)
	for {
		next, whole, err := scanLines(s.pending, s.next)
		if err != nil {
			return err
		}
		s.next = next
		if !whole && len(s.pending) > maxHead {
			return ErrHeadTooLarge
		}
		if !whole {
			return nil
		}
		head := s.pending[:next]
		if err := s.Checker.Check(head); err != nil {
			return err
		}
		if !isInformational(head) {
			s.expected, s.pending = false, nil
			return nil
		}
		s.pending, s.next = append(s.pending[:0], s.pending[next:]...), 0
	}
}

// isInformational reports whether a sound head is that of a response before the final one.
func isInformational(head []byte) bool { return head[len(versionPrefix)+2] == '1' }
