package soak

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// onLink runs a test with a link to a server that sends back what it gets, and a connection through it.
func onLink(t *testing.T, body func(chk *is.I, lnk *link, con net.Conn)) {
	t.Helper()
	chk := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	chk.NoErr(err)
	grp := &errgroup.Group{}
	grp.Go(func() error {
		for {
			con, err := lis.Accept()
			if err != nil {
				return nil //nolint:nilerr // the listener was closed
			}
			grp.Go(func() error {
				_, _ = io.Copy(con, con) // It ends with the connection.
				return con.Close()
			})
		}
	})
	lnk, err := newLink("one", "two", lis.Addr().String(), "127.0.0.2", grp)
	chk.NoErr(err)
	con, err := net.Dial("tcp", lnk.address)
	chk.NoErr(err)
	body(chk, lnk, con)
	_ = con.Close() // The test may have closed it.
	lnk.close()
	chk.NoErr(lis.Close())
	_ = grp.Wait() // Connections that a test broke off end with errors.
}

// exchange sends a byte and reports whether it comes back in time.
func exchange(con net.Conn, patience time.Duration) error {
	if _, err := con.Write([]byte{1}); err != nil {
		return err
	}
	return await(con, patience)
}

func await(con net.Conn, patience time.Duration) error {
	if err := con.SetReadDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	_, err := con.Read(make([]byte, 1))
	return err
}

const (
	// longEnough is for what comes, shortEnough for what must not come.
	longEnough  = 10 * time.Second
	shortEnough = 50 * time.Millisecond
)

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func TestLinkHoldsUpWhatIsCut(t *testing.T) {
	onLink(t, func(chk *is.I, lnk *link, con net.Conn) {
		chk.NoErr(exchange(con, longEnough))
		for _, cut := range []func(){func() { lnk.cut = true }, func() { lnk.back = true }} {
			lnk.set(cut)
			chk.True(isTimeout(exchange(con, shortEnough)))
			lnk.heal()
			chk.NoErr(await(con, longEnough)) // TCP delivers late what was held up.
		}
	})
}

func TestLinkSilencesOpenConnections(t *testing.T) {
	onLink(t, func(chk *is.I, lnk *link, con net.Conn) {
		chk.NoErr(exchange(con, longEnough))
		lnk.silence()
		chk.True(isTimeout(exchange(con, shortEnough)))
		fresh, err := net.Dial("tcp", lnk.address)
		chk.NoErr(err)
		chk.NoErr(exchange(fresh, longEnough))
		chk.NoErr(fresh.Close())
	})
}

func TestLinkResets(t *testing.T) {
	onLink(t, func(chk *is.I, lnk *link, con net.Conn) {
		chk.NoErr(exchange(con, longEnough))
		lnk.reset()
		err := await(con, longEnough)
		chk.True(err != nil && !isTimeout(err))
	})
}

func TestLinkRefusesWhileItsTargetIsDown(t *testing.T) {
	onLink(t, func(chk *is.I, lnk *link, _ net.Conn) {
		chk.NoErr(lnk.setUp(false))
		_, err := net.Dial("tcp", lnk.address)
		chk.True(err != nil)
		chk.NoErr(lnk.setUp(true))
		con, err := net.Dial("tcp", lnk.address)
		chk.NoErr(err)
		chk.NoErr(exchange(con, longEnough))
		chk.NoErr(con.Close())
	})
}
