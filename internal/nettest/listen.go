package nettest

import (
	"fmt"
	"net"
	"os"
	"testing"
)

// Listen takes a free port on a loopback IP that this process shares with no
// other. On 127.0.0.1 another process may be given the port between the close
// of the listener and the next bind.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 48+(pid>>16)&15, (pid>>8)&255, pid&255))
	if err != nil {
		t.Fatal(err)
	}
	return l
}
