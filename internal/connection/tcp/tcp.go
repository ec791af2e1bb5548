package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PeerHasLeft reports whether the peer of a connection has closed or reset it, as far as the kernel knows by now. It takes nothing from the connection and
// doesn't wait, also while another goroutine reads from it. Bytes that were not read yet hide an end that comes after them; a connection
// that is neither a socket nor tells by itself counts as open.
func PeerHasLeft(con net.Conn) bool {
	for {
		switch typ := con.(type) {
		case interface{ PeerHasLeft() bool }:
			return typ.PeerHasLeft()
		case interface{ NetConn() net.Conn }:
			con = typ.NetConn()
		case syscall.Conn:
			return socketHasEnded(typ)
		default:
			return false
		}
	}
}

// socketHasEnded reports whether nothing more will arrive at a socket.
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
		ended = err == nil && num == 0 || err != nil && !errors.Is(err, unix.EAGAIN)
	})
	return err != nil || ended // An error of Control means that this side has closed the socket.
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

// ConnectionAge returns how long ago the connection in the context of a request was accepted; 0 without one.
func ConnectionAge(ctx context.Context) time.Duration {
	acc, ok := ctx.Value(contextKey{}).(accepted)
	if !ok {
		return 0
	}
	return time.Since(acc.at)
}
