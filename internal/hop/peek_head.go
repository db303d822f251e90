package hop

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"time"
)

// HeadError is returned for the head of a response that is not sound. Its request may have
// run: bytes of other answers may stand around the answer to it.
type HeadError struct {
	Err     error         // what is wrong with the head
	Start   []byte        // its first bytes, at most headErrorBytes
	Age     time.Duration // of the connection
	Answers int           // complete answers that the connection has carried before
}

// headErrorBytes is the number of bytes of a head that an error quotes.
const headErrorBytes = 80

func (e *HeadError) Error() string {
	return fmt.Sprintf("%v (head %q, connection open for %s, answers before: %d)", e.Err, e.Start, e.Age.Round(time.Millisecond), e.Answers)
}

func (e *HeadError) Unwrap() error { return e.Err }

// headError returns the error for a head that begins with start.
func (u *Conn) headError(err error, start []byte) error {
	return &HeadError{Err: err, Start: bytes.Clone(start[:min(len(start), headErrorBytes)]), Age: time.Since(u.opened), Answers: u.answers}
}

// peekHead returns the head of the next response, to its empty line, without consuming it.
// It fails as soon as a line does not end with CRLF, since the empty line may then never
// come.
func (u *Conn) peekHead() ([]byte, error) {
	seen, next := 0, 0
	for {
		buffered, err := u.peekBeyond(seen)
		if err != nil {
			return nil, err
		}
		seen = len(buffered)
		var whole bool
		if next, whole, err = scanLines(buffered, next); err != nil {
			return nil, u.headError(err, buffered)
		}
		if whole {
			return buffered[:next], nil
		}
	}
}

// scanLines skips complete lines, beginning at from. It returns where the first incomplete
// line begins or, with whole, where the first empty line ends.
func scanLines(b []byte, from int) (next int, whole bool, err error) {
	for {
		end := bytes.IndexByte(b[from:], '\n')
		if end < 0 {
			return from, false, nil
		}
		line, _, err := cutLine(b[from : from+end+1])
		if err != nil {
			return from, false, err
		}
		from += end + 1
		if len(line) == 0 {
			return from, true, nil
		}
	}
}

// peekBeyond waits until more than seen bytes are buffered and returns all of them.
func (u *Conn) peekBeyond(seen int) ([]byte, error) {
	if seen == u.reader.Size() {
		if err := u.growReader(); err != nil {
			return nil, err
		}
	}
	if _, err := u.reader.Peek(seen + 1); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return u.reader.Peek(u.reader.Buffered())
}

// growReader replaces the reader by one that holds the longest head that the limiter lets
// through. Few connections need it.
func (u *Conn) growReader() error {
	const size = maxHead + 2*readBuffer
	if u.reader.Size() >= size {
		return ErrHeadTooLarge
	}
	buffered, err := u.reader.Peek(u.reader.Buffered())
	if err != nil {
		return err
	}
	rest := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), u.limiter)
	u.reader = bufio.NewReaderSize(rest, size)
	return nil
}
