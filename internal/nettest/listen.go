package nettest

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// Listen listens on a free port of a loopback IP derived from the process ID, so
// that a test can close the listener and bind the same address again. On
// 127.0.0.1 another process could be given the port in between.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 48+(pid>>16)&15, (pid>>8)&255, pid&255))
	if err != nil {
		t.Fatal(err)
	}
	return l
}
