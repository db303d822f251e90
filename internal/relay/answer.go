package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
)

// approxHeadBytes is the approximate size of a response head on the link.
const approxHeadBytes = 512

// relayResponse streams a target's response to the entry host. Its last bytes stay in
// the buffer of the session's writer; the caller flushes them. The response gets the id
// of the request that it was tied to if the target left it out, because the entry host
// cannot tell whether the relay's connection to the target was new.
func (x *exchange) relayResponse(ctx context.Context, response *http.Response) error {
	s := x.session
	header := hop.EndToEndHeaders(response.Header)
	Strip(header)
	x.session.server.config.Codec.Echo(header, x.call.ID)
	x.markLast(header)
	bodyless := x.request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	chunked := response.ContentLength < 0 && !bodyless
	if chunked {
		header.Set("Transfer-Encoding", "chunked")
	} else if response.ContentLength >= 0 && response.StatusCode != http.StatusNoContent {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(x.answerTimeLeft())) // if the connection has ended, the write fails
	if err := writeHead(s.writer, response.StatusCode, header); err != nil {
		return err
	}
	var p *pacer
	if x.rate > 0 {
		p = s.server.pacers.get(time.Now(), s.host, x.rate)
		if err := p.reserve(ctx, approxHeadBytes, x.bulk); err != nil {
			return err
		}
	}
	if bodyless {
		return nil
	}
	return x.copyBody(ctx, response.Body, chunked, p)
}

// writeHead writes the status line and headers of a response.
func writeHead(w io.Writer, status int, header http.Header) error {
	if _, err := fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status)); err != nil {
		return err
	}
	if err := header.Write(w); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// copyBody copies a response body. Each part is flushed as soon as the pacer allows
// it. p is nil if the rate of the link is unknown.
func (x *exchange) copyBody(ctx context.Context, body io.Reader, chunked bool, p *pacer) error {
	w := x.session.writer
	buffer := make([]byte, paceBurst)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if p != nil {
				if err := p.reserve(ctx, n, x.bulk); err != nil {
					return err
				}
			}
			if err := writePart(w, buffer[:n], chunked); err != nil {
				return err
			}
		}
		if err == io.EOF {
			if chunked {
				_, err = io.WriteString(w, "0\r\n\r\n")
				return err
			}
			return nil
		}
		if err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// writePart writes a part of a body, framed as a chunk if chunked is set.
func writePart(w io.Writer, part []byte, chunked bool) error {
	if !chunked {
		_, err := w.Write(part)
		return err
	}
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part)
	return err
}
