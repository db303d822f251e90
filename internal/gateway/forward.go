package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hornbeamstack/hornbeamstack/internal/hop"
	"github.com/hornbeamstack/hornbeamstack/internal/relay"
	"github.com/hornbeamstack/hornbeamstack/pkg/roster"
)

// forwarded returns the request as it is sent to a target, directly or through a
// relay. left is the time until its deadline.
func (d *delivery) forwarded(t *roster.Target, left time.Duration) *http.Request {
	x := d.exchange
	header := hop.EndToEndHeaders(x.request.Header)
	header.Del("Expect")
	relay.Strip(header)
	d.gateway.config.Codec.Forward(header, left, t.Name)
	if d.via == viaRelay {
		d.gateway.relays.setHeaders(header, t, x.route.Kind)
	}
	return &http.Request{Method: x.request.Method, URL: x.request.URL, RequestURI: x.request.RequestURI, Host: x.request.Host, Header: header}
}

// writeRequest writes a request and its body. A buffered body goes out in one
// write with the header.
func writeRequest(conn io.Writer, r *http.Request, body *requestBody) error {
	var b bytes.Buffer
	if err := hop.WriteHead(&b, r, body.length); err != nil {
		return err
	}
	if body.rest == nil {
		b.Write(body.prefix)
		_, err := conn.Write(b.Bytes())
		return err
	}
	if _, err := conn.Write(b.Bytes()); err != nil {
		return err
	}
	if body.length >= 0 {
		_, err := io.Copy(conn, io.MultiReader(bytes.NewReader(body.prefix), body.rest))
		return err
	}
	return writeChunked(conn, io.MultiReader(bytes.NewReader(body.prefix), body.rest))
}

// writeChunked copies r to w with the chunked transfer coding.
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
