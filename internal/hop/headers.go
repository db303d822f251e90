package hop

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// EndToEndHeaders copies headers without those that concern one connection.
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

// WriteHead writes the head of a request whose body has length bytes; the body
// is sent in chunks if length is negative.
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
