package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connect returns both ends of a connection on loopback.
func connect(tb testing.TB) (near, far *net.TCPConn) {
	tb.Helper()
	chk := is.New(tb)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	chk.NoErr(err)
	defer func() { _ = lis.Close() }()
	dialled, err := net.Dial("tcp", lis.Addr().String())
	chk.NoErr(err)
	accepted, err := lis.Accept()
	chk.NoErr(err)
	near, far = accepted.(*net.TCPConn), dialled.(*net.TCPConn)
	tb.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

// wrapped is a connection inside another one, as those that count their bytes are.
type wrapped struct{ net.Conn }

func (wrp wrapped) NetConn() net.Conn { return wrp.Conn }

// Guards against work that is begun for a caller who has left, and against callers who are taken for gone.
func TestPeerHasLeft(t *testing.T) {
	cases := map[string]struct {
		does func(near, far *net.TCPConn) error
		left bool
	}{
		"open":             {does: func(_, _ *net.TCPConn) error { return nil }},
		"bytes to be read": {does: func(_, far *net.TCPConn) error { _, err := far.Write([]byte("x")); return err }},
		"closed":           {does: func(_, far *net.TCPConn) error { return far.Close() }, left: true},
		"reset": {does: func(_, far *net.TCPConn) error {
			if err := far.SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		}, left: true},
		"reset, and the error was read": {does: func(near, far *net.TCPConn) error {
			if err := far.SetLinger(0); err != nil {
				return err
			}
			err := far.Close()
			_, _ = near.Read(make([]byte, 1)) // The read gets the error of the reset.
			return err
		}, left: true},
		"closed behind bytes to be read": {does: func(_, far *net.TCPConn) error {
			_, err := far.Write([]byte("a request sent ahead"))
			return errors.Join(err, far.Close())
		}, left: true},
		"reset behind bytes to be read": {does: func(_, far *net.TCPConn) error {
			_, err := far.Write([]byte("a request sent ahead"))
			return errors.Join(err, far.SetLinger(0), far.Close())
		}, left: true},
		"closed here": {does: func(near, _ *net.TCPConn) error { return near.Close() }, left: true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			chk := is.New(t)
			near, far := connect(t)
			chk.NoErr(cas.does(near, far))
			if cas.left {
				for range 1000 { // The kernel delivers the end within a moment.
					if PeerHasLeft(near) {
						break
					}
					time.Sleep(time.Millisecond)
				}
			}
			chk.Equal(PeerHasLeft(near), cas.left)
			chk.Equal(PeerHasLeft(wrapped{near}), cas.left)
			chk.Equal(CallerHasLeft(NewContext(context.Background(), near)), cas.left)
		})
	}
	chk := is.New(t)
	chk.True(!CallerHasLeft(context.Background()))
}

// Guards against a check that waits for the goroutine which reads the connection, or takes its bytes.
func TestPeerHasLeftBesideARead(t *testing.T) {
	chk := is.New(t)
	near, far := connect(t)
	read := make(chan string)
	reader := func() {
		data, _ := io.ReadAll(near) // A reset would show as less data.
		read <- string(data)
	}
	go reader()
	chk.True(!PeerHasLeft(near))
	_, err := far.Write([]byte("all"))
	chk.NoErr(err)
	chk.True(!PeerHasLeft(near))
	chk.NoErr(far.Close())
	chk.Equal(<-read, "all")
}

// Guards against a request that is taken for new as its process had no processor while it waited.
func TestRequestAge(t *testing.T) {
	chk := is.New(t)
	near, far := connect(t)
	ctx := NewContext(context.Background(), wrapped{near})
	_, err := far.Write([]byte("x"))
	chk.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	chk.True(RequestAge(ctx) >= 200*time.Millisecond) // The kernel's timer is coarse.
	_, err = near.Read(make([]byte, 1))
	chk.NoErr(err)
	chk.True(RequestAge(ctx) >= 200*time.Millisecond) // The read doesn't make them new.
	chk.Equal(RequestAge(context.Background()), time.Duration(0))
	one, two := net.Pipe()
	defer func() { _, _ = one.Close(), two.Close() }()
	chk.Equal(sinceLastReceived(one), time.Duration(0))
}

func BenchmarkRequestAge(b *testing.B) {
	near, _ := connect(b)
	ctx := NewContext(context.Background(), wrapped{near})
	for b.Loop() {
		if RequestAge(ctx) > time.Hour {
			b.Fatal("the connection is new")
		}
	}
}

func BenchmarkPeerHasLeft(b *testing.B) {
	near, _ := connect(b)
	ctx := NewContext(context.Background(), wrapped{near})
	for b.Loop() {
		if CallerHasLeft(ctx) {
			b.Fatal("the caller is there")
		}
	}
}
