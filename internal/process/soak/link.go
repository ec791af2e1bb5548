package soak

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// link is a proxy on the way from one end to another. What it holds up is delivered when the way is whole again, as
// TCP does.
type link struct {
	from, to string
	address  string
	target   string
	grp      *errgroup.Group

	mu    sync.Mutex
	lis   net.Listener
	conns map[*pair]bool
	// cut holds up what is sent along the link, back what returns; delay is added to each piece.
	cut, back bool
	delay     time.Duration
	changed   chan struct{}
	closed    bool
}

// pair is a connection through a link.
type pair struct {
	near, far net.Conn
	// silent connections lose whatever is sent from then on and stay open.
	silent bool
}

// newLink returns a link that listens on a free port of an address that nothing else listens on: the port has to be free
// again after the link was closed for a while.
func newLink(from, to, target, host string, grp *errgroup.Group) (*link, error) {
	lnk := &link{
		from: from, to: to, target: target, grp: grp, conns: map[*pair]bool{}, changed: make(chan struct{}),
	}
	return lnk, lnk.open(net.JoinHostPort(host, "0"))
}

// open listens; a link whose target is gone refuses connections as its machine would.
func (lnk *link) open(address string) error {
	lis, err := listenAgain(address)
	if err != nil {
		return errors.Wrapf(err, "link %s to %s", lnk.from, lnk.to)
	}
	lnk.mu.Lock()
	lnk.lis, lnk.address = lis, lis.Addr().String()
	lnk.mu.Unlock()
	lnk.grp.Go(func() error {
		lnk.accept(lis)
		return nil
	})
	return nil
}

const (
	// reopenFor is how long a port may stay taken after its listener was closed. An instance that another play starts has, between
	// fork and exec, the sockets of this process: of 6,300 listeners beside four such loops 2,042 were refused ("address already
	// in use") for up to 9 ms, without them none. On a machine that stands still for half a second it takes as long.
	reopenFor   = 5 * time.Second
	reopenPause = 5 * time.Millisecond
)

// listenAgain listens on an address that the same link may just have left.
func listenAgain(address string) (net.Listener, error) {
	for began := time.Now(); ; time.Sleep(reopenPause) {
		lis, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Since(began) > reopenFor {
			return lis, err
		}
	}
}

// setUp tells the link whether its target listens.
func (lnk *link) setUp(up bool) error {
	lnk.mu.Lock()
	lis, closed := lnk.lis, lnk.closed
	if !up {
		lnk.lis = nil
	}
	lnk.mu.Unlock()
	switch {
	case up && lis == nil && !closed:
		return lnk.open(lnk.address)
	case !up && lis != nil:
		return errors.Wrap(lis.Close(), "close link")
	}
	return nil
}

func (lnk *link) accept(lis net.Listener) {
	for {
		near, err := lis.Accept()
		if err != nil {
			return // It was closed.
		}
		lnk.grp.Go(func() error {
			lnk.carry(near)
			return nil
		})
	}
}

// carry joins a connection with one to the target until both are closed.
func (lnk *link) carry(near net.Conn) {
	far, err := net.DialTimeout("tcp", lnk.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	par := &pair{near: near, far: far}
	lnk.mu.Lock()
	closed := lnk.closed
	lnk.conns[par] = true
	lnk.mu.Unlock()
	if closed {
		lnk.drop(par)
		return
	}
	var grp errgroup.Group
	grp.Go(func() error { return lnk.pump(par, near, far, false) })
	grp.Go(func() error { return lnk.pump(par, far, near, true) })
	_ = grp.Wait() // An end that is closed is no fault of the soak.
	lnk.drop(par)
}

func (lnk *link) drop(par *pair) {
	lnk.mu.Lock()
	delete(lnk.conns, par)
	lnk.mu.Unlock()
	_ = par.near.Close() // It may be closed already.
	_ = par.far.Close()  // As above.
}

// pump passes on one direction of a connection; the end of it is passed on, too.
func (lnk *link) pump(par *pair, src, dst net.Conn, back bool) error {
	buf := make([]byte, 32<<10)
	for {
		num, err := src.Read(buf)
		lost, wait := lnk.await(par, back)
		if wait > 0 {
			time.Sleep(wait)
		}
		if num > 0 && !lost {
			if _, err := dst.Write(buf[:num]); err != nil {
				_ = src.Close() // The other end is gone, and this one hears of it.
				return errors.Wrap(err, "pass on")
			}
		}
		if err == nil {
			continue
		}
		if lost {
			return nil
		}
		var netErr *net.OpError
		if errors.As(err, &netErr) {
			reset(dst)
			return nil
		}
		if tcp, ok := dst.(*net.TCPConn); ok {
			return errors.Wrap(tcp.CloseWrite(), "end")
		}
	}
}

// await returns once the direction is open. Lost says that the connection has gone silent.
func (lnk *link) await(par *pair, back bool) (lost bool, delay time.Duration) {
	for {
		lnk.mu.Lock()
		held := lnk.cut && !back || lnk.back && back
		lost, delay = par.silent, lnk.delay
		chn, closed := lnk.changed, lnk.closed
		lnk.mu.Unlock()
		if !held || lost || closed {
			return lost, delay
		}
		<-chn
	}
}

// set changes the link and wakes what it holds up.
func (lnk *link) set(change func()) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	change()
	close(lnk.changed)
	lnk.changed = make(chan struct{})
}

// heal ends all that is wrong with the link; connections that were silenced stay so.
func (lnk *link) heal() { lnk.set(func() { lnk.cut, lnk.back, lnk.delay = false, false, 0 }) }

// silence makes all open connections lose what is sent from now on; new ones work.
func (lnk *link) silence() {
	lnk.set(func() {
		for par := range lnk.conns {
			par.silent = true
		}
	})
}

// reset breaks all open connections off.
func (lnk *link) reset() {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	for par := range lnk.conns {
		reset(par.near)
		reset(par.far)
	}
}

// close ends the link for good.
func (lnk *link) close() {
	_ = lnk.setUp(false) // It is closed in any case.
	lnk.set(func() { lnk.closed = true })
	lnk.reset()
}

func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Closing then sends a reset; without it, an end.
	}
	_ = con.Close() // It may be closed already.
}

// sleep waits and reports whether ctx goes on.
func sleep(ctx context.Context, dur time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(dur):
		return true
	}
}
