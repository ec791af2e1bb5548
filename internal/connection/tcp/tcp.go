package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeerHasLeft reports whether the peer of a connection has closed or reset it, as far as the kernel knows by now, also if bytes that were sent before
// wait to be read. It takes nothing from the connection and doesn't wait, also while another goroutine reads from it. A connection that is
// neither a socket nor tells by itself counts as open.
func PeerHasLeft(con net.Conn) bool {
	switch typ := innermost(con).(type) {
	case interface{ PeerHasLeft() bool }:
		return typ.PeerHasLeft()
	case syscall.Conn:
		return socketHasEnded(typ)
	default:
		return false
	}
}

// innermost returns the connection inside those that wrap it.
func innermost(con net.Conn) net.Conn {
	for {
		wrp, ok := con.(interface{ NetConn() net.Conn })
		if !ok {
			return con
		}
		con = wrp.NetConn()
	}
}

// socketHasEnded reports whether the peer of a socket sends nothing more.
func socketHasEnded(con syscall.Conn) bool {
	raw, err := con.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	// Not raw.Read, which waits for the goroutine that is reading.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		num, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		for errors.Is(err, unix.EINTR) {
			num, _, err = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		}
		ended = err == nil && (num == 0 || endsAfterBytes(int(fd))) || err != nil && !errors.Is(err, unix.EAGAIN)
	})
	return err != nil || ended // An error of Control means that this side has closed the socket.
}

// endsAfterBytes reports whether the peer of a socket with bytes to be read has closed or reset it.
func endsAfterBytes(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(fds, 0)
	for errors.Is(err, unix.EINTR) {
		_, err = unix.Poll(fds, 0)
	}
	return err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// sinceLastReceived returns how long ago the last bytes of a connection came to this machine, to the millisecond, whether they were read since or
// not; 0 if that is not known.
func sinceLastReceived(con net.Conn) time.Duration {
	switch typ := innermost(con).(type) {
	case interface{ SinceLastReceived() time.Duration }:
		return typ.SinceLastReceived()
	case syscall.Conn:
		return socketReceived(typ)
	default:
		return 0
	}
}

// socketReceived returns how long ago a socket got its last bytes, by the kernel's timer; 0 if that is not known.
func socketReceived(con syscall.Conn) time.Duration {
	raw, err := con.SyscallConn()
	if err != nil {
		return 0
	}
	var ago time.Duration
	err = raw.Control(func(fd uintptr) {
		if inf, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(inf.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil {
		return 0
	}
	return ago
}

type contextKey struct{}

// accepted is a connection and when it was accepted.
type accepted struct {
	con net.Conn
	at  time.Time
}

// NewContext returns the context of requests that arrive on a connection which was accepted just now.
func NewContext(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, accepted{con: con, at: time.Now()})
}

// CallerHasLeft reports whether the caller of a request has closed or reset the connection in its context; false without one.
func CallerHasLeft(ctx context.Context) bool {
	acc, ok := ctx.Value(contextKey{}).(accepted)
	return ok && PeerHasLeft(acc.con)
}

// RequestAge returns how long ago the last bytes came on the connection in the context of a request; 0 if that is not known. Bytes of a later
// request on the same connection make the age too small.
func RequestAge(ctx context.Context) time.Duration {
	acc, ok := ctx.Value(contextKey{}).(accepted)
	if !ok {
		return 0
	}
	return sinceLastReceived(acc.con)
}

// ConnectionAge returns how long ago the connection in the context of a request was accepted; 0 without one.
func ConnectionAge(ctx context.Context) time.Duration {
	acc, ok := ctx.Value(contextKey{}).(accepted)
	if !ok {
		return 0
	}
	return time.Since(acc.at)
}
