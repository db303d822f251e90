package hop

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// connectionHeaders are the hop-by-hop headers, which apply to a single connection.
// Content-Length is among them because the sender sets it anew for each hop.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop ones, which
// include those that the Connection header names.
func EndToEndHeaders(h http.Header) http.Header {
	copied := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		copied.Del(name)
	}
	return copied
}

// WriteHead appends the head of a request to b. length is the size of the body in
// bytes; if it is negative, the body is sent chunked. WriteHead sets the matching
// framing header on r.
func WriteHead(b *bytes.Buffer, r *http.Request, length int64) error {
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, uri, r.Host)
	switch {
	case length < 0:
		r.Header.Set("Transfer-Encoding", "chunked")
	case length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		r.Header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if err := r.Header.Write(b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	return nil
}
