package hop

import (
	"fmt"
	"io"
	"net/http"
)

// unframedBody is the body of a response without a length, which ends with the connection.
// Its end is an error if a write on the connection has failed: the kernel reports a reset
// only once, and after a write has received the report, reads end as if the target had
// closed the connection in order.
type unframedBody struct {
	io.ReadCloser
	conn *Conn
}

func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if writeErr := b.conn.writeError(); writeErr != nil {
			err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, writeErr)
		}
	}
	return n, err
}

// isUnframed reports whether the body of a response ends with the connection.
func isUnframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// writeError waits for a write in progress and returns the error of the first write that
// failed, nil if none did.
func (u *Conn) writeError() error {
	u.writeMu.Lock()
	defer u.writeMu.Unlock()
	return u.writeErr
}
