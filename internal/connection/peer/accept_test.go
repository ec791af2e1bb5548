package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// lateListener accepts one connection at the moment when the server is told to stop.
type lateListener struct {
	stop func()
	con  net.Conn
	done chan struct{}
}

func (lis *lateListener) Accept() (net.Conn, error) {
	if lis.con == nil {
		<-lis.done
		return nil, net.ErrClosed
	}
	con := lis.con
	lis.con = nil
	lis.stop()
	return con, nil
}

func (lis *lateListener) Close() error {
	close(lis.done)
	return nil
}

func (*lateListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestConnectionAcceptedAtTheStop(t *testing.T) {
	// All instances of a system stop at once. One dials another in the very moment in which that one stops
	// accepting. The connection was accepted, never read and never closed, so the caller's hello hung until its
	// write deadline and its process ended two seconds late.
	synctest.Test(t, func(t *testing.T) {
		chk := is.NewRelaxed(t)
		near, far := net.Pipe()
		ctx, cancel := context.WithCancel(t.Context())
		lis := &lateListener{stop: cancel, con: far, done: make(chan struct{})}
		grp := &errgroup.Group{}
		grp.Go(func() error { return NewServer(testConfig("b"), &recorder{}).Serve(ctx, lis) })
		began := time.Now()
		chk.NoErr(near.SetWriteDeadline(began.Add(2 * time.Second)))
		_, err := near.Write([]byte("hello"))
		chk.True(err != nil)
		chk.Equal(time.Since(began), time.Duration(0))
		chk.NoErr(grp.Wait())
		chk.NoErr(near.Close())
	})
}
