package relay

import (
	"context"
	"io"
	"net/http"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
)

// upload is the body of a request that is streamed from the entry host to the target. The
// entry host sends it once it is asked for it, so that it can send it elsewhere if this relay
// cannot reach the target.
type upload struct {
	session   *session
	body      io.Reader
	length    int64              // negative if unknown
	continued bool               // the entry host was asked for the body
	cancel    context.CancelFunc // of the request, called if the entry host leaves
}

// uploadOf returns the upload of a request, nil if its body comes with its head.
func uploadOf(s *session, r *http.Request, cancel context.CancelFunc) *upload {
	if r.Header.Get(HeaderStream) == "" {
		return nil
	}
	return &upload{session: s, body: r.Body, length: r.ContentLength, cancel: cancel}
}

// sendContinue tells the entry host to send the body.
func (u *upload) sendContinue() error {
	u.continued = true
	if err := writeHead(u.session.writer, http.StatusContinue, nil); err != nil {
		return err
	}
	return u.session.writer.Flush()
}

// copyTo streams the body to the target and then waits until the entry host closes its
// connection to the relay, which carries no further request.
func (u *upload) copyTo(target *hop.Exchange) {
	body := &watchedReader{reader: u.body}
	err := hop.CopyBody(target, body, u.length)
	if err == nil {
		target.MarkSent()
		_, body.err = u.session.reader.Peek(1) // nothing more is expected
	}
	if body.err != nil && body.err != io.EOF || err == nil {
		u.cancel()
	}
}

// watchedReader keeps the error of a read, to tell the loss of the entry host from that of
// the target.
type watchedReader struct {
	reader io.Reader
	err    error
}

func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}
