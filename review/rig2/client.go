package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client is one connection of a client to an entry machine.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection of a client.
func connect(n *node) (*client, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, portFront), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// get returns a request for a path.
func get(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\n\r\n", path, hostName, id)
}

// send sends requests at once.
func (c *client) send(requests ...string) error {
	_, err := io.WriteString(c.conn, strings.Join(requests, ""))
	return err
}

// receive reads one answer. The error says how it is incomplete.
func (c *client) receive(limit time.Duration) (response *http.Response, size int, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit)) // a failure shows in the read
	if response, err = http.ReadResponse(c.reader, nil); err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, len(body), err
}

func (c *client) close() { _ = c.conn.Close() }

// awaitReady waits until an entry machine says that it is ready.
func awaitReady(n *node, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := operator.Get(fmt.Sprintf("http://%s:%d/v1/readiness", n.ip, portReady))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.name, limit)
}
