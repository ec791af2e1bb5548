package http1

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// LimitUnread bounds what the kernel holds for each connection that a listener accepts and that isn't read, to ReceiveBuffer and its overhead. A listener
// that isn't a socket has no such bytes.
func LimitUnread(lis net.Listener) error {
	sck, ok := lis.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sck.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "receive buffer")
	}
	var set error
	err = raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBuffer) })
	return errors.Wrap(errors.CombineErrors(err, set), "receive buffer")
}
