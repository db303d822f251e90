package hop

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// dial opens a connection from a source address, nil to let the system choose it.
func dial(to Endpoint, from *net.TCPAddr, timeout time.Duration) (*Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval}}
	if from != nil {
		dialer.LocalAddr = from
	}
	conn, err := dialer.Dial("tcp", to.Address)
	if err != nil {
		return nil, err
	}
	return newConn(to, conn), nil
}

func newConn(to Endpoint, conn net.Conn) *Conn {
	limiter := NewHeadLimiter(conn)
	return &Conn{to: to, conn: conn, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBuffer),
		resume: make(chan bool, 1), fresh: true, opened: time.Now()}
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}
