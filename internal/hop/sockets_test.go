package hop

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a connection on which silence is noticed later than meant: where
// TCP_USER_TIMEOUT is set, it also ends unanswered keep-alive probes, whatever their number.
func TestSilentConnectionsAreNoticed(t *testing.T) {
	u, err := dial(Endpoint{Address: listen(t)}, nil, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	raw, err := u.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := map[int]int{}
	if err := raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL} {
			got[option], _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) // 0 after an error
		}
	}); err != nil {
		t.Fatal(err)
	}
	for option, want := range map[int]int{unix.TCP_USER_TIMEOUT: int(unackedTimeout.Milliseconds()),
		unix.TCP_KEEPIDLE: int(keepAliveIdle.Seconds()), unix.TCP_KEEPINTVL: int(keepAliveInterval.Seconds())} {
		if got[option] != want {
			t.Errorf("socket option %d is %d, want %d", option, got[option], want)
		}
	}
}
