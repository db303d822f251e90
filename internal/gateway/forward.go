package gateway

import (
	"bytes"
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
		if x.body.rest != nil {
			header.Set(relay.HeaderStream, "1")
		}
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
	return copyBody(conn, body)
}

// writeHead writes the head of a request whose body follows later.
func writeHead(conn io.Writer, r *http.Request, body *requestBody) error {
	var b bytes.Buffer
	if err := hop.WriteHead(&b, r, body.length); err != nil {
		return err
	}
	_, err := conn.Write(b.Bytes())
	return err
}

// copyBody writes the buffered start of a body and streams the rest.
func copyBody(conn io.Writer, body *requestBody) error {
	return hop.CopyBody(conn, io.MultiReader(bytes.NewReader(body.prefix), body.rest), body.length)
}
