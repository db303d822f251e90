package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// passedOn copies headers without those that concern one connection.
func passedOn(h http.Header) http.Header {
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

// forwarded is the request for a target.
func (d *delivery) forwarded(t *roster.Target, left time.Duration) *http.Request {
	x := d.exchange
	header := passedOn(x.request.Header)
	header.Del("Expect")
	d.gateway.config.Codec.Forward(header, left, t.Name)
	return &http.Request{Method: x.request.Method, URL: x.request.URL, RequestURI: x.request.RequestURI, Host: x.request.Host, Header: header}
}

// writeRequest sends a request with its body.
func writeRequest(conn net.Conn, r *http.Request, body *requestBody) error {
	var b bytes.Buffer
	uri := r.RequestURI
	if !strings.HasPrefix(uri, "/") {
		uri = r.URL.RequestURI()
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, uri, r.Host)
	chunked := body.length < 0
	switch {
	case chunked:
		r.Header.Set("Transfer-Encoding", "chunked")
	case body.length > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		r.Header.Set("Content-Length", strconv.FormatInt(body.length, 10))
	}
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	if body.rest == nil {
		b.Write(body.prefix)
		_, err := conn.Write(b.Bytes())
		return err
	}
	if _, err := conn.Write(b.Bytes()); err != nil {
		return err
	}
	if !chunked {
		_, err := io.Copy(conn, io.MultiReader(bytes.NewReader(body.prefix), body.rest))
		return err
	}
	return writeChunked(conn, io.MultiReader(bytes.NewReader(body.prefix), body.rest))
}

func writeChunked(w io.Writer, r io.Reader) error {
	buffer := make([]byte, callerBuffer)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", n, buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}
